"""Stand-ins for the store, the runners, the clients and the platform."""
