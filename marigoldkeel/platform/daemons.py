"""Creates the daemons of a fleet with the platform's adapters."""

from marigoldkeel.exceptions import SettingsError
from marigoldkeel.fleet.daemons import FleetAgent, FleetDaemon, FleetEntry
from marigoldkeel.fleet.settings import FleetSettings
from marigoldkeel.platform.callers import callers_application, readiness_application
from marigoldkeel.platform.plans import EVACUATION_PREFIX, PLAN_KEY, decode_plan
from marigoldkeel.platform.stores import PlatformStore
from marigoldkeel.platform.workers import RunnerClient, reports_application


def open_daemon(settings: FleetSettings, settings_path: str = "") -> FleetDaemon:
    """Create the daemon that the settings describe, without starting it.

    :param settings_path: The file that is reread on SIGHUP.
    :raises SettingsError: If the settings describe neither an entry nor an agent.
    """
    store = PlatformStore(settings.store.url, settings.store.timeout_s)
    if settings.callers is not None:
        plan_store = PlatformStore(settings.store.url, settings.store.timeout_s)
        entry = FleetEntry(
            settings,
            store,
            PLAN_KEY,
            decode_plan,
            settings_path,
            EVACUATION_PREFIX,
            plan_store,
        )
        entry.servers += [
            (settings.callers.address, callers_application(entry)),
            (settings.callers.readiness, readiness_application(entry)),
        ]
        return entry
    if settings.worker is None:
        raise SettingsError("neither [callers] nor [worker] is set", "read settings")
    client = RunnerClient(settings.worker.address)
    agent = FleetAgent(settings, store, client, settings_path)
    reports = reports_application(agent.supervisor, client, agent.flush)
    agent.servers.append((settings.worker.reports, reports))
    return agent
