"""Settings of a process, read from TOML and validated before it starts."""

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from marigoldkeel.exceptions import InvalidInput, SettingsError
from marigoldkeel.transports import parse_address


ProcessName = Annotated[str, Meta(pattern=r"\A[A-Za-z0-9._-]{1,64}\Z")]
DomainName = Annotated[str, Meta(min_length=1, max_length=64)]


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the client of the key-value store."""

    url: str
    kind: str = "etcd"
    timeout_s: Annotated[float, Meta(gt=0, le=60)] = 2.0


class Settings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of an entry or agent.

    :param listen: Address for messages between processes.
    :param advertise: Address under which peers reach ``listen``, if different.
    :param http: HTTP address, for callers at an entry and for targets at an agent.
    :param contacts: Addresses of entries and some agents that it announces itself to.
    """

    name: ProcessName
    domain: DomainName
    listen: str
    http: str
    store: StoreSettings
    advertise: str = ""
    contacts: list[str] = []
    policy: str = "late_binding"
    partitions: Annotated[int, Meta(ge=1, le=65_536)] = 16
    log_format: str = "text"
    log_level: str = "INFO"

    @classmethod
    def from_toml(cls, path: str | Path) -> "Settings":
        """Read and validate the settings in the file ``path``.

        Usage::

            settings = Settings.from_toml("agent.toml")

        :raises SettingsError: Naming the file, the key and the reason.
        """
        return read_settings(path, cls)

    def check(self) -> None:
        """Validate what the schema cannot express.

        :raises InvalidInput: Naming the key and the reason.
        """
        addresses = {"listen": self.listen, "http": self.http}
        if self.advertise:
            addresses["advertise"] = self.advertise
        for index, contact in enumerate(self.contacts):
            addresses[f"contacts[{index}]"] = contact
        check_addresses(addresses)
        if self.log_format not in ("text", "json"):
            raise InvalidInput(
                f"log_format: {self.log_format!r} is not 'text' or 'json'"
            )


def read_settings(path: str | Path, settings_type: type) -> Any:
    """Read and validate the settings in a TOML file.

    :param settings_type: A `msgspec.Struct` with a method ``check``.
    :raises SettingsError: Naming the file, the key and the reason.
    """
    try:
        data = Path(path).read_bytes()
        settings = msgspec.toml.decode(data, type=settings_type)
        settings.check()
    except OSError as error:
        raise SettingsError(error.strerror, "read settings", str(path)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), "read settings", str(path)) from None
    except InvalidInput as error:
        raise SettingsError(error.message, "read settings", str(path)) from None
    return settings


def check_addresses(addresses: dict[str, str]) -> None:
    """Validate addresses, given by their key in the settings.

    :raises InvalidInput: Naming the key and the reason.
    """
    for key, address in addresses.items():
        try:
            parse_address(address)
        except InvalidInput as error:
            raise InvalidInput(f"{key}: {error.message}") from None
