"""Scenario files: TOML with a seed that describes a run; every mistake is reported with its line.

A range is two numbers, low and high, from which each host draws a value. Times are seconds (``_s``) or
milliseconds (``_ms``), rates are messages per second over all relays.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, model_validator

from mallowlug import toml_check
from mallowlug.rig.world.repeats import RepeatForm


def check_range(values: tuple[float, ...]) -> tuple[float, ...]:
    """Check that the low end of a range comes first."""
    if values[0] > values[1]:
        raise ValueError("the low end is above the high one")
    return values


Range = Annotated[
    tuple[Annotated[float, Field(ge=0)], Annotated[float, Field(ge=0)]],
    Field(strict=False),
    AfterValidator(check_range),
]
Share = Annotated[float, Field(ge=0, le=1)]


class LoadTable(toml_check.Strict):
    """``[load]``: message rate and arrival pattern."""

    rate_per_s: float = Field(gt=0, le=20_000)
    clumps: Share = 0.1  # share of the messages that arrive in clumps for one destination
    clump_size: int = Field(default=6, ge=1)
    skew: float = Field(default=0.9, ge=0, le=3)  # Zipf exponent over destinations
    body: int = Field(default=200, ge=0, le=65_536)  # bytes
    key_reuse: Share = 0.5  # in ordered classes: share of messages with a recently used key
    # Relative traffic of each relay, repeated cyclically; empty: uniform.
    relay_weights: tuple[Annotated[float, Field(gt=0)], ...] = Field(default=(), strict=False)


class ClassTable(toml_check.Strict):
    """``[[class]]``: a message class."""

    name: str = Field(pattern=r"^[!-+\--<>-~]{1,64}$")
    share: float = Field(gt=0)
    effect: Literal["safe", "keyed", "unsafe"]
    work_ms: float = Field(gt=0)
    aim_s: float = Field(gt=0)
    deadline_s: float = Field(gt=0)
    worth: float = Field(default=1.0, ge=0)
    late_worth: Share = 0.0
    window_s: float = Field(default=0.0, ge=0)
    by_zone: bool = False
    in_order: bool = False


class KindTable(toml_check.Strict):
    """``[[kind]]``: a kind of destination."""

    name: str = Field(pattern=r"^[!-+\--<>-~]{1,64}$")
    share: float = Field(gt=0)
    lean: float = 0.0  # above 0: favours destinations with much traffic
    batch: int = Field(default=1, ge=1, le=100)
    apart: bool = True
    limited: bool = False  # has a rate limit; otherwise only its capacity limits it
    headroom: Range = (1.3, 2.5)  # limit or capacity, as a multiple of the load at rate_per_s
    least_per_s: Range = (1.5, 3.7)
    tells_wait: Share = 0.8  # share of its refusals that state a wait
    wait_ms: Range = (270, 720)
    refused_count: bool = False  # refused calls count against the limit too
    queue_s: Range = (0.3, 1.0)  # seconds of its capacity
    error_rate: Share = 0.003
    handshake_ms: Range = (20, 60)


class PartnersTable(toml_check.Strict):
    """``[partners]``: the destinations and their endpoints."""

    destinations: int = Field(default=10, ge=1, le=2000)
    endpoints: Range = (1, 3)
    zones: tuple[str, ...] = Field(default=("floor-2", "floor-3"), strict=False, min_length=1)
    cold_from: Range = (0.27, 0.38)
    warm_s: Range = (10, 13)
    network_ms: Range = (0, 0)
    idle_s: float = Field(default=15.0, gt=0)
    repeats: bool = False  # seeds include hosts and a platform that write answers twice


class ClientsTable(toml_check.Strict):
    """``[clients]``: the behaviour of clients."""

    retries: int = Field(default=2, ge=0, le=10)
    backoff_s: Range = (0.5, 1.4)
    honour: Share = 0.8  # share of Retry-After waits that clients honour
    marks: bool = False  # whether retries are marked as such
    roam: bool = False  # whether a retry goes to any relay, not only to the one that had the message first
    answer_s: float = Field(default=0.4, gt=0)


class RelaysTable(toml_check.Strict):
    """``[relays]``: the processes under test and their limits."""

    count: int = Field(default=2, ge=1, le=200)
    # Concurrent calls, as a multiple of what the load keeps busy.
    slots_room: float = Field(default=1.9, gt=0)
    hold_s: float = Field(default=9.0, gt=0)  # seconds of the load that a relay may hold open
    sockets: int = Field(default=384, ge=32)
    disk_mb: float = Field(default=3.0, gt=0)
    back_s: float = Field(default=0.6, ge=0)  # from a process's exit to its next start
    durable: bool = False  # their journals survive a power loss
    console: bool = False  # they have consoles and can be upgraded; simulated relays only
    fleet: bool = False  # they form a fleet; simulated relays only
    staff: bool = False  # seeds include operators who disable and enable hosts
    reloads: bool = False  # seeds change the configuration file at every stage of an upgrade
    awake: int = Field(default=1024, ge=1)  # destinations that stay active; simulated relays only
    # Idle time after which one may become inactive; simulated relays only.
    rest_s: float = Field(default=60.0, gt=0)


class RulesTable(toml_check.Strict):
    """``[rules]``: limits that do not depend on the class."""

    drain_grace_s: float = Field(default=0.5, ge=0)
    ask_within_s: float = Field(default=6.0, gt=0)
    fall_multiple: float = Field(default=1.5, gt=0)
    fall_s: float = Field(default=3.0, gt=0)
    order_pause_s: float = Field(default=0.0, ge=0)
    max_attempts: int = Field(default=6, ge=1)
    max_retry_after_s: float = Field(default=2.0, ge=0)
    second_copies: bool = True  # whether a message may be sent again while a call with it is in progress


class DirectoryTable(toml_check.Strict):
    """``[directory]``: delay of published changes."""

    late_s: Range = (0.7, 2.5)


class MemberTable(toml_check.Strict):
    """``[[member]]``: a tenant, its share of the load, and how much of that it uses."""

    name: str = Field(pattern=r"^[!-+\--<>-~]{1,64}$")
    share: float = Field(gt=0)
    usage: float = Field(default=1.0, ge=0)


# Defaults for scenarios without classes, kinds or members: the values of the modelled site.
POSTINGS = ClassTable(
    name="payment-postings", share=0.69, effect="keyed", work_ms=74.0, aim_s=4.0, deadline_s=12.0,
    late_worth=0.4, window_s=25.0, by_zone=True,
)  # fmt: skip
STATUS = ClassTable(
    name="session-status", share=0.31, effect="safe", work_ms=125.0, aim_s=3.0, deadline_s=12.0,
    worth=3.0, late_worth=0.5,
)  # fmt: skip
BANKS = KindTable(name="banks", share=1.0, lean=1.0, batch=10, limited=True)
LOTS = KindTable(name="lot-systems", share=2.0, tells_wait=0.3, error_rate=0.005)
MEMBERS = tuple(
    MemberTable(name=name, share=share)
    for name, share in (
        ("parqueos-centro", 0.34),
        ("estaciona-sur", 0.20),
        ("parqueo-roble", 0.17),
        ("aparca-volcan", 0.15),
        ("parqueos-lago", 0.14),
    )
)

RELAY_EVENTS = ("kill", "term", "hup", "wipe", "move")
OUTAGE_EVENTS = ("refuse", "silent", "slow", "shut")
DIRECTORY_EVENTS = ("drain", "remove", "replace")
LINK_FAULT_EVENTS = ("delay", "cut", "silence", "drip")
# Events that only a simulation can apply.
SIMULATION_EVENTS = ("stall", "jump", "full", "apart", "power", "upgrade", "out", "reload")


class EventTable(toml_check.Strict):
    """``[[event]]``: a fault or change at a given time.

    ``kill``, ``term``, ``hup``, ``wipe`` stop or signal a relay (``wipe`` deletes its folder too);
    ``move`` gives the directory a new address and sends SIGHUP to all relays. ``refuse``, ``silent``,
    ``slow`` and ``shut`` affect endpoints of one zone that get ``part`` of the traffic, or of one
    ``dest``. ``drain``, ``remove`` and ``replace`` change ``count`` endpoints in the directory.
    ``heavy_tail`` makes ``part`` of a class ``size`` times as long, ``directory_out`` takes the directory
    down, ``garble`` corrupts ``part`` of the answers, ``rude`` starts ``count`` malformed clients.
    ``repeat`` writes ``part`` of the answers of hosts, or of the directory and the notices (``between``),
    once more ``after_ms``: whole, or as ``form`` says.
    ``delay``, ``cut``, ``silence`` and ``drip`` affect the links ``between`` two parts. Only in the
    simulation: ``stall`` suspends a relay, ``jump`` moves its wall clock by ``size`` seconds (``back``
    for the past), ``full`` fills its disk, ``apart`` isolates it from the network, ``power`` cuts its
    power and keeps only what was synced (``relays.durable``), ``upgrade`` starts a second process beside
    it and stops the first once that is ready (``relays.console``); with ``len_s`` the first one is killed
    that long after the second's start, with ``back`` the second one. ``out`` lets operators disable
    ``count`` endpoints at a relay, restart them and enable them. ``crowd`` opens ``count`` idle
    connections to every relay and keeps them open. ``reload`` installs another ``file``, valid or
    ``broken``, and sends SIGHUP; with ``back`` to the process started last, whether it waits for
    ownership, is the owner or has exited; with ``unsaid`` to none. With ``len_s`` a valid file is
    restored that long after it, with a SIGHUP.
    """

    at_s: float = Field(ge=0)
    what: Literal[
        "kill", "term", "hup", "wipe", "move",
        "refuse", "silent", "slow", "shut", "heavy_tail",
        "drain", "remove", "replace", "directory_out", "garble", "rude", "crowd",
        "repeat", "delay", "cut", "silence", "drip", "stall", "jump", "full", "apart",
        "power", "upgrade", "out", "reload",
    ]  # fmt: skip
    len_s: float = Field(default=0.0, ge=0)
    relay: int = Field(default=0, ge=0)
    dest: int = Field(default=-1, ge=-1)
    part: Share = 0.2
    size: float = Field(default=8.0, gt=0)
    count: int = Field(default=1, ge=1)
    cls: str = ""
    between: Literal["hosts", "directory", "clients"] = "hosts"
    after_bytes: int = Field(default=0, ge=0)
    after_ms: Range = (3.0, 14.0)
    form: RepeatForm = "whole"
    back: bool = False
    file: Literal["same", "classes", "deadlines", "broken"] = "same"
    unsaid: bool = False


# Names of system calls; writes and sends also name their content.
SYSTEM_CALLS = (
    "write.in", "write.try", "write.not", "write.end", "write.over", "write.journal.new", "replace",
    "truncate", "open", "unlink", "read", "connect", "send.call", "send.notice", "send.watch", "send.answer",
)  # fmt: skip

SYNC_CALLS = ("sync", "sync_folder")  # made only with durable journals


class NetTable(toml_check.Strict):
    """``[net]``: links of the simulation; each direction of a connection draws its own values."""

    latency_ms: Range = (0.05, 0.2)
    jitter_ms: Range = (0, 0)
    bytes_per_s: Range = (0, 0)  # 0: unlimited
    piece: tuple[int, int] = Field(default=(0, 0), strict=False)  # bytes of a segment; 0: as sent


class StrikeTable(toml_check.Strict):
    """``[[strike]]``: a fault at one system call or step of a relay process; only in the simulation.

    ``at`` counts the system calls (``call``) or event loop steps (``step``) of that process lifetime; if
    ``call`` is set, only such calls (``write``), or only those with such content (``write.try``). ``kill``
    ends the process ``before``, ``within`` or ``after`` it; any other ``what`` makes a disk call fail
    (``short``: half of it is written).
    """

    relay: int = Field(default=0, ge=0)
    life: int = Field(default=0, ge=0)
    unit: Literal["call", "step"] = "call"
    call: Literal["", "write", "send", *SYSTEM_CALLS, *SYNC_CALLS] = ""  # type: ignore[valid-type]
    at: int = Field(ge=1)
    what: Literal["kill", "short", "ENOSPC", "EIO"] = "kill"
    when: Literal["before", "within", "after"] = "before"


class MessageTable(toml_check.Strict):
    """``[[message]]``: one message; if there are any, they replace the drawn traffic."""

    at_s: float = Field(ge=0)
    relay: int = Field(default=0, ge=0)
    dest: int = Field(default=0, ge=0)
    cls: str
    member: str
    order: str = ""
    size: int = Field(default=200, ge=0, le=65_536)


class Scenario(toml_check.Strict):
    """A complete scenario file."""

    name: str
    seed: int = Field(ge=0)
    length_s: float = Field(gt=0, le=3600)
    load: LoadTable
    relays: RelaysTable = RelaysTable()
    partners: PartnersTable = PartnersTable()
    clients: ClientsTable = ClientsTable()
    directory: DirectoryTable = DirectoryTable()
    rules: RulesTable = RulesTable()
    classes: tuple[ClassTable, ...] = Field((POSTINGS, STATUS), alias="class", strict=False, min_length=1)
    kinds: tuple[KindTable, ...] = Field((BANKS, LOTS), alias="kind", strict=False, min_length=1)
    members: tuple[MemberTable, ...] = Field(MEMBERS, alias="member", strict=False, min_length=1)
    events: tuple[EventTable, ...] = Field(alias="event", default=(), strict=False)
    net: NetTable = NetTable()
    strikes: tuple[StrikeTable, ...] = Field(alias="strike", default=(), strict=False)
    messages: tuple[MessageTable, ...] = Field(alias="message", default=(), strict=False)

    @model_validator(mode="after")
    def check_references(self) -> Scenario:
        """Check across tables: unique names, and references to existing relays, destinations and classes."""
        for key, names in (
            ("class", [item.name for item in self.classes]),
            ("kind", [item.name for item in self.kinds]),
            ("member", [item.name for item in self.members]),
        ):
            if len(set(names)) < len(names):
                raise ValueError(f"{key}: duplicate name")
        partners = self.partners
        for at, event in enumerate(self.events):
            if event.at_s >= self.length_s:
                raise ValueError(f"event.{at}.at_s: {event.at_s} is not within length_s")
            if event.what in RELAY_EVENTS + SIMULATION_EVENTS and event.relay >= self.relays.count:
                raise ValueError(f"event.{at}.relay: there are {self.relays.count} relays, from 0")
            if event.dest >= partners.destinations:
                raise ValueError(f"event.{at}.dest: there are {partners.destinations}, from 0")
            if event.what == "repeat" and event.between == "clients":
                raise ValueError(f"event.{at}.between: only hosts and directory repeat answers")
            if event.what == "power" and not self.relays.durable:
                raise ValueError(f"event.{at}.what: relays.durable is off, so no data survives a power loss")
            if event.what in ("upgrade", "out") and not self.relays.console:
                raise ValueError(f"event.{at}.what: relays.console is off, but the event needs the console")
            if event.what == "heavy_tail" and event.cls not in {cls.name for cls in self.classes}:
                raise ValueError(f"event.{at}.cls: no such class: {event.cls!r}")
        classes = {cls.name for cls in self.classes}
        for at, strike in enumerate(self.strikes):
            if strike.relay >= self.relays.count:
                raise ValueError(f"strike.{at}.relay: there are {self.relays.count} relays, from 0")
            no_disk = strike.unit == "step" or strike.call.startswith(("send", "connect"))
            if strike.what != "kill" and no_disk:
                raise ValueError(f"strike.{at}.what: {strike.what} is a failure of the disk's calls")
        for at, message in enumerate(self.messages):
            if message.dest >= partners.destinations or message.relay >= self.relays.count:
                raise ValueError(f"message.{at}: no such destination or relay")
            if message.cls not in classes:
                raise ValueError(f"message.{at}.cls: no such class: {message.cls!r}")
        return self

    @property
    def simulation_only(self) -> str:
        """The first setting that requires a simulation, with the reason; empty if there is none."""
        if self.strikes:
            return "strike.0: faults of system calls need the simulation"
        for at, event in enumerate(self.events):
            if event.what in SIMULATION_EVENTS:
                return f"event.{at}.what: {event.what} happens only in the simulation"
        return "net: link properties need the simulation" if self.net != NetTable() else ""

    @property
    def faulty_links(self) -> set[str]:
        """The links that need fault proxies."""
        return {event.between for event in self.events if event.what in LINK_FAULT_EVENTS}


def load(path: Path) -> Scenario:
    """Read a scenario; raise ``toml_check.FileMistakesError`` with all mistakes."""
    return toml_check.read(path, Scenario)


def load_without_simulation(path: Path) -> Scenario:
    """Read a scenario for real sockets; reject settings that need the simulation, with their line."""
    found = load(path)
    if reason := found.simulation_only:
        key = reason.partition(":")[0]
        place = tuple(int(part) if part.isdigit() else part for part in key.split("."))
        line = toml_check.line_of(toml_check.key_lines(path.read_text(encoding="utf-8")), place)
        raise toml_check.FileMistakesError(path, [toml_check.Mistake(line, "", reason)])
    return found
