"""What a relay is told: environment and JSON file to one typed value."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from mallowlug.core.model import Address, EndpointList, parse_address
from mallowlug.directory.discovery import read_list
from mallowlug.system import Disk, System, save
from mossfront.interface import Settings
from mossfront.settings import int_field, parse_settings

LOG = logging.getLogger(__name__)
OVERRULED = "overruled"  # file in the lasting folder: the ROUTER_DISCOVERY that a reload has put aside


class ConfigError(ValueError):
    """The deployment told something that cannot be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that one relay runs by."""

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
    console: Address | None = None  # where on-call staff and their tools call
    shape: Any = ...  # the keys of the file, which a later one must have too
    told: bytes = b""  # the file as JSON without its list of hosts; kept only where there is a console
    aside: str = ""  # the value of ROUTER_DISCOVERY that a reload has put aside


@dataclass(frozen=True, slots=True)
class FrontPlan:
    """A listener beside the platform's, and how many connections it may hold."""

    kind: str
    listen: Address
    connections: int


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """This relay's place in a fleet whose members know of each other."""

    name: str
    listen: Address
    address: str  # host:port that others are told
    seeds: tuple[str, ...] = ()
    zone: str = ""
    period_s: float = 1.0  # between two probes
    settle_s: float = 30.0  # how long a majority holds a death before parts grow


@dataclass(frozen=True, slots=True)
class Extras:
    """What an operator file switches on; as it stands here, nothing."""

    log_level: str = "INFO"
    log_format: str = "text"
    fronts: tuple[FrontPlan, ...] = ()
    durable: bool = False  # the journal outlasts the loss of the machine's power
    awake: int = 1024  # destinations that stay awake, used or not
    rest_s: float = 60.0  # s without a use after which one beyond them may sleep
    fleet: FleetPlan | None = None  # its own view of the other relays; None: it has none


NOTHING = Extras()


def address_of(text: str) -> Address:
    """``host:port`` as the pair that sockets take; ``ConfigError`` where it is none."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(str(error)) from None


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path=value pairs that the adapter's settings reader takes.

    Both come from one object, so one reader serves the simulator and the sockets alike.
    """
    if isinstance(value, dict):
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for at, item in enumerate(value):
            yield from flatten(item, f"{path}.{at}")
    elif isinstance(value, list):
        yield path, ",".join(plain(item) for item in value)
    elif value is not None:
        yield path, plain(value)


def plain(value: Any) -> str:
    """One plain value in the wire's spelling."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value).replace(" ", "_").replace(",", "_")


def seed_of(value: Any) -> int:
    """The seed is hexadecimal text; a plain number serves too."""
    return int(value, 16) if isinstance(value, str) else int(value)


def overruled(state: Path, disk: Disk) -> str:
    """The value of ``ROUTER_DISCOVERY`` that counts no more, because a reload put the file before it."""
    try:
        return disk.read(state / OVERRULED).decode()
    except (OSError, ValueError):
        return ""


def discovery_of(
    system: System, raw: dict[str, Any], reloading: bool, aside: str = ""
) -> tuple[Address, str]:
    """The address of discovery, and the variable's value that it has put aside ("" for none).

    The variable goes before the file, but only until a reload. A supervisor starts every life with the
    variables of the first. So a reload that changes the address has to be remembered (``put_aside``), or the
    next life would go back to the address that was left. ``aside``: what this relay has put aside already.
    """
    variable, state = system.environ.get("ROUTER_DISCOVERY", ""), Path(system.environ["ROUTER_STATE"])
    if variable and not reloading and variable not in (aside, overruled(state, system.disk)):
        return address_of(variable), ""
    address = address_of(raw["discovery"])
    return address, variable if variable and (not reloading or address_of(variable) != address) else ""


def put_aside(system: System, variable: str) -> bool:
    """Remember, for the lives to come, which value of the variable counts no more; whether that is kept."""
    state = Path(system.environ["ROUTER_STATE"])
    try:
        return overruled(state, system.disk) == variable or save(
            system.disk, state / OVERRULED, variable.encode()
        )
    except OSError as error:
        LOG.error("reload: the next life will not know of it: %s", error)
        return False


def shape_of(value: Any) -> Any:
    """The keys of a JSON value: of objects, and of a list's objects those that all of them have.

    None stands for a plain value, an empty list for one of plain values, ``...`` for anything.
    """
    if isinstance(value, dict):
        return {key: shape_of(item) for key, item in value.items()}
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        return [{key: shape_of(value[0][key]) for key in value[0] if all(key in item for item in value)}]
    return [] if isinstance(value, list) else value if value is ... else None


def lacking(value: Any, shape: Any, path: str = "") -> Iterator[str]:
    """What a file has to have by an earlier one's shape and does not: a key, or the kind of its value."""
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
                yield from lacking(value[key], inner, f"{path}.{key}" if path else key)
    elif isinstance(shape, list):
        if not isinstance(value, list):
            yield path
            return
        for at, item in enumerate(value):
            yield from lacking(item, shape[0] if shape else None, f"{path}.{at}")


def without_list(raw: dict[str, Any]) -> bytes:
    """The file as a process that takes over needs it: the list of hosts passes on by itself."""
    return msgspec.json.encode({key: value for key, value in raw.items() if key != "known"})


def file_of(system: System) -> dict[str, Any]:
    """``$ROUTER_CONFIG`` as it is now; ``ConfigError`` where it is no JSON object, or cannot be read."""
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
    """Read ``$ROUTER_CONFIG``; where a variable of its own is set, that one counts.

    ``shape``: that of the file in force. One that lacks a key of it is incomplete, and nothing of it counts.
    """
    raw = file_of(system)
    if missing := next(lacking(raw, shape), ""):
        raise ConfigError(f"missing {missing}")
    return config_of(system, raw, reloading)


def load_again(system: System, own: Config, held: Config) -> Config:
    """The file as a process finds it that takes over; ``ConfigError`` where it cannot be used.

    ``own``: what this process read at its start; a file that has not changed since counts as it did then.
    One that has must be as complete as the one that is ``held`` in force. The list of hosts in it is not
    read: the process before this one may have heard of drains since.
    """
    raw = file_of(system)
    if without_list(raw) != own.told and (missing := next(lacking(raw, held.shape), "")):
        raise ConfigError(f"missing {missing}")
    return config_of(system, raw | ({"known": None} if "known" in raw else {}), False, held.aside)


def in_force(system: System, text: str, discovery: str, aside: str) -> Config:
    """What the process before this one went by, from what it handed over; ``ConfigError`` if that is none."""
    try:
        cfg = config_of(system, msgspec.json.decode(text, type=dict[str, Any]), False, aside)
    except msgspec.MsgspecError as error:
        raise ConfigError(str(error)) from error
    return replace(cfg, discovery=address_of(discovery), aside=aside)


def config_of(system: System, raw: dict[str, Any], reloading: bool = False, aside: str = "") -> Config:
    """The typed value of a file's JSON; ``ConfigError`` where it cannot be used."""
    environ = system.environ
    try:
        pairs = dict(flatten(raw["settings"]))
        limits, console = raw.get("limits", {}), environ.get("ROUTER_CONSOLE") or raw.get("console")
        discovery, put = discovery_of(system, raw, reloading, aside)
        return Config(
            name=environ.get("ROUTER_NAME") or str(raw["name"]),
            listen=address_of(environ.get("ROUTER_LISTEN") or raw["listen"]),
            state=Path(environ["ROUTER_STATE"]),
            seed=seed_of(raw.get("seed", 0)),
            # On sockets the directory answers only when asked, whatever the simulator's site says.
            settings=replace(parse_settings(pairs), must_subscribe=True),
            connect_timeout_us=int_field(pairs, "allowed.connect_timeout_us", 1_000_000),
            disk_bytes=int(float(limits.get("disk_mb", 3)) * 1_000_000),
            memory_bytes=int(float(limits.get("memory_mb", 64)) * 1_000_000),
            sockets=int(limits.get("sockets", 1024)),
            known=read_list(raw["known"]) if raw.get("known") else EndpointList(0, True, ()),
            console=address_of(console) if console else None,
            shape=shape_of(raw | ({"known": ...} if "known" in raw else {})),
            told=without_list(raw) if console else b"",
            discovery=discovery,
            aside=put,
        )
    except KeyError as error:
        raise ConfigError(f"missing {error.args[0]}") from None
    except (
        OSError, TypeError, ValueError, AttributeError, OverflowError, RecursionError, msgspec.MsgspecError,
    ) as error:  # fmt: skip
        raise ConfigError(str(error)) from error
