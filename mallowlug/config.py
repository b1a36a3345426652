"""A relay's configuration: reads the environment and the JSON file into one typed value."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from mallowlug.core.model import Address, EndpointList, parse_address
from mallowlug.directory.discovery import parse_list
from mallowlug.system import Disk, System, write_file
from mossfront.interface import Settings
from mossfront.settings import int_field, parse_settings

LOG = logging.getLogger(__name__)
OVERRIDDEN_FILE = "overruled"  # in the state folder: the ROUTER_DISCOVERY that a reload has overridden


class ConfigError(ValueError):
    """The environment, the file or the operator file is unusable."""


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration of one relay."""

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    settings: Settings
    connect_timeout_us: int
    disk_bytes: int
    memory_bytes: int
    sockets: int
    known: EndpointList
    console: Address | None = None  # where operators and their tools connect
    shape: Any = ...  # the keys of the file, which a reloaded file must have too; see ``key_shape``
    file_json: bytes = b""  # the file without its list of hosts; empty without a console
    overridden_discovery: str = ""  # the value of ROUTER_DISCOVERY that a reload has overridden


@dataclass(frozen=True, slots=True)
class FrontPlan:
    """An additional listener, and how many connections it may hold."""

    kind: str
    listen: Address
    connections: int


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """This relay's membership in a fleet of relays that keep a view of each other."""

    name: str
    listen: Address
    address: str  # host:port that is announced to the others
    seeds: tuple[str, ...] = ()
    zone: str = ""
    period_s: float = 1.0  # s between two probes
    settle_s: float = 30.0  # s for which a majority must agree on a death before shares grow


@dataclass(frozen=True, slots=True)
class Extras:
    """The options of an operator file; the defaults enable nothing."""

    log_level: str = "INFO"
    log_format: str = "text"
    fronts: tuple[FrontPlan, ...] = ()
    durable: bool = False  # sync the journal, so that it survives a power loss
    active_destinations: int = 1024  # destinations that stay active, used or not
    inactive_after_s: float = 60.0  # s without use after which one beyond these becomes inactive
    fleet: FleetPlan | None = None  # None: no view of other relays is kept


DEFAULT_EXTRAS = Extras()


def address_of(text: str) -> Address:
    """Parse ``host:port`` into a socket address; raises ``ConfigError`` if it is not one."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(str(error)) from None


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Flatten nested JSON to the path=value pairs of the simulator's wire.

    So one settings reader serves both the simulator and the relay on sockets.
    """
    if isinstance(value, dict):
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(wire_text(item) for item in value)
    elif value is not None:
        yield path, wire_text(value)


def wire_text(value: Any) -> str:
    """Format one scalar as the simulator's wire does."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value).replace(" ", "_").replace(",", "_")


def parse_seed(value: Any) -> int:
    """Parse the seed: hexadecimal text or a number."""
    return int(value, 16) if isinstance(value, str) else int(value)


def read_overridden_discovery(state: Path, disk: Disk) -> str:
    """Return the value of ``ROUTER_DISCOVERY`` that a reload has overridden; "" if there is none."""
    try:
        return disk.read(state / OVERRIDDEN_FILE).decode()
    except (OSError, ValueError):
        return ""


def choose_discovery(
    system: System, raw: dict[str, Any], reloading: bool, overridden: str = ""
) -> tuple[Address, str]:
    """Return the discovery address and the value of ``ROUTER_DISCOVERY`` that is overridden ("" if none).

    The variable takes precedence over the file, but only until a reload. A supervisor restarts the process
    with the variables of its first start. So a reload that changes the address has to be recorded (see
    ``persist_overridden_discovery``), or a restart would go back to the old address. ``overridden`` is the
    value that this relay has overridden already.
    """
    variable, state = system.environ.get("ROUTER_DISCOVERY", ""), Path(system.environ["ROUTER_STATE"])
    if (
        variable
        and not reloading
        and variable not in (overridden, read_overridden_discovery(state, system.disk))
    ):
        return address_of(variable), ""
    address = address_of(raw["discovery"])
    return address, variable if variable and (not reloading or address_of(variable) != address) else ""


def persist_overridden_discovery(system: System, variable: str) -> bool:
    """Record for later restarts which value of the variable is overridden; return whether it is recorded."""
    state = Path(system.environ["ROUTER_STATE"])
    try:
        return read_overridden_discovery(state, system.disk) == variable or write_file(
            system.disk, state / OVERRIDDEN_FILE, variable.encode()
        )
    except OSError as error:
        LOG.error("reload: cannot record the overridden ROUTER_DISCOVERY for a restart: %s", error)
        return False


def key_shape(value: Any) -> Any:
    """Return the keys of a JSON value: those of objects, and for a list those that all its objects have.

    None stands for a scalar, an empty list for a list of scalars, ``...`` for any value.
    """
    if isinstance(value, dict):
        return {key: key_shape(item) for key, item in value.items()}
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        return [{key: key_shape(value[0][key]) for key in value[0] if all(key in item for item in value)}]
    return [] if isinstance(value, list) else value if value is ... else None


def missing_keys(value: Any, shape: Any, path: str = "") -> Iterator[str]:
    """Yield what a file lacks by the shape of an earlier one: keys, or values of the right type."""
    if shape is None and isinstance(value, dict | list):
        yield f"a plain value at {path}"
    elif isinstance(shape, dict):
        if not isinstance(value, dict):
            yield path or "all"
            return
        for key, inner in shape.items():
            if value.get(key) is None:
                yield f"{path}.{key}" if path else key
            else:
                yield from missing_keys(value[key], inner, f"{path}.{key}" if path else key)
    elif isinstance(shape, list):
        if not isinstance(value, list):
            yield path
            return
        for index, item in enumerate(value):
            yield from missing_keys(item, shape[0] if shape else None, f"{path}.{index}")


def without_known_hosts(raw: dict[str, Any]) -> bytes:
    """Encode the file for a handover, without the list of hosts, which is handed over separately."""
    return msgspec.json.encode({key: value for key, value in raw.items() if key != "known"})


def read_config_file(system: System) -> dict[str, Any]:
    """Read the file that ``ROUTER_CONFIG`` names; raises ``ConfigError`` if it holds no JSON object."""
    try:
        raw = msgspec.json.decode(system.disk.read(Path(system.environ["ROUTER_CONFIG"])))
    except KeyError as error:
        raise ConfigError(f"missing {error.args[0]}") from None
    except (OSError, RecursionError, msgspec.MsgspecError) as error:
        raise ConfigError(str(error)) from error
    if not isinstance(raw, dict):
        raise ConfigError("missing all")
    return raw


def load(system: System, reloading: bool = False, shape: Any = ...) -> Config:
    """Read the configuration; values from the environment take precedence over those of the file.

    ``shape`` is that of the file in force. A file that lacks one of its keys is incomplete and is rejected
    with ``ConfigError``.
    """
    raw = read_config_file(system)
    if missing := next(missing_keys(raw, shape), ""):
        raise ConfigError(f"missing {missing}")
    return parse_config(system, raw, reloading)


def load_for_takeover(system: System, own: Config, in_force: Config) -> Config:
    """Read the file again at a takeover; raises ``ConfigError`` if it is unusable.

    ``own`` is what this process read at its start; a file that is unchanged since is accepted as it was then.
    A changed one must have all keys of the file ``in_force``. Its list of hosts is ignored, as the former
    owner may have learned of drains since.
    """
    raw = read_config_file(system)
    if without_known_hosts(raw) != own.file_json and (missing := next(missing_keys(raw, in_force.shape), "")):
        raise ConfigError(f"missing {missing}")
    return parse_config(
        system, raw | ({"known": None} if "known" in raw else {}), False, in_force.overridden_discovery
    )


def config_from_handover(system: System, text: str, discovery: str, overridden: str) -> Config:
    """Rebuild the former owner's configuration from the handover state; raises ``ConfigError`` if invalid."""
    try:
        cfg = parse_config(system, msgspec.json.decode(text, type=dict[str, Any]), False, overridden)
    except msgspec.MsgspecError as error:
        raise ConfigError(str(error)) from error
    return replace(cfg, discovery=address_of(discovery), overridden_discovery=overridden)


def parse_config(
    system: System, raw: dict[str, Any], reloading: bool = False, overridden: str = ""
) -> Config:
    """Build the configuration from a file's JSON; raises ``ConfigError`` if it is unusable."""
    environ = system.environ
    try:
        pairs = dict(flatten(raw["settings"]))
        limits, console = raw.get("limits", {}), environ.get("ROUTER_CONSOLE") or raw.get("console")
        discovery, overridden_now = choose_discovery(system, raw, reloading, overridden)
        return Config(
            name=environ.get("ROUTER_NAME") or str(raw["name"]),
            listen=address_of(environ.get("ROUTER_LISTEN") or raw["listen"]),
            state=Path(environ["ROUTER_STATE"]),
            seed=parse_seed(raw.get("seed", 0)),
            # On sockets the directory answers only requests, whatever a simulated site is configured to do.
            settings=replace(parse_settings(pairs), must_subscribe=True),
            connect_timeout_us=int_field(pairs, "allowed.connect_timeout_us", 1_000_000),
            disk_bytes=int(float(limits.get("disk_mb", 3)) * 1_000_000),
            memory_bytes=int(float(limits.get("memory_mb", 64)) * 1_000_000),
            sockets=int(limits.get("sockets", 1024)),
            known=parse_list(raw["known"]) if raw.get("known") else EndpointList(0, True, ()),
            console=address_of(console) if console else None,
            shape=key_shape(raw | ({"known": ...} if "known" in raw else {})),
            file_json=without_known_hosts(raw) if console else b"",
            discovery=discovery,
            overridden_discovery=overridden_now,
        )
    except KeyError as error:
        raise ConfigError(f"missing {error.args[0]}") from None
    except (
        OSError, TypeError, ValueError, AttributeError, OverflowError, RecursionError, msgspec.MsgspecError,
    ) as error:  # fmt: skip
        raise ConfigError(str(error)) from error
