"""Adapters between marigoldkeel and the platform on which it is deployed.

The platform's names and formats are confined to this package, and the package contains
no scheduling or supervision logic.
"""
