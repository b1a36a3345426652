"""What the core and its ports exchange: plain values, no I/O and no protocol's words."""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowlug.core.reasons import RejectReason
from mossfront.interface import EndpointEntry, Verdict

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """``host:port`` as the pair that sockets take; ``ValueError`` where it is none."""
    host, sign, port = text.rpartition(":")
    if not sign or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Submission:
    """A message as a client hands it in; ``deadline_us`` is wall time."""

    id: str
    dest: int
    cls: str
    deadline_us: int
    tenant: str = ""
    order: str = ""
    key: str = ""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The message is journaled: the relay owes its end, and nobody is to hand it in again."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was kept; handing it in again after so many milliseconds is harmless."""

    wait_ms: int
    reason: RejectReason = field(default=RejectReason.SHUTTING_DOWN, compare=False)


@dataclass(frozen=True, slots=True)
class Failed:
    """Nothing was kept, and handing it in again unchanged is of no use."""

    reason: str


Answer = Accepted | Refused | Failed


@dataclass(frozen=True, slots=True)
class ResolvedEndpoint:
    """An endpoint with the address under which this relay reaches it."""

    entry: EndpointEntry
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One piece of news: the whole list, or what changed."""

    seq: int
    full: bool
    hosts: tuple[ResolvedEndpoint, ...]


@dataclass(slots=True, eq=False)
class Part:
    """One message's attempt within a call; ``timeout_us`` is how long it may take from the call's ``sent_s``.

    ``start_within_us``: only within so long may its first byte go out, as a repeat is dropped no longer
    (0: any time).
    """

    id: str
    attempt: int
    key: str
    body: bytes
    timeout_us: int
    start_within_us: int = 0
    settled: bool = False


@dataclass(slots=True, eq=False)
class Call:
    """One call: an endpoint and the parts that travel together.

    ``sent_s``: the loop's time at which it was decided. Its limits count from there: the decision and the
    journal take time, by which a call would outlast its messages' deadlines and windows.
    """

    host: str
    parts: list[Part]
    sent_s: float

    @property
    def open(self) -> list[Part]:
        """The parts that have no outcome yet."""
        return [part for part in self.parts if not part.settled]


@dataclass(frozen=True, slots=True)
class PartOutcome:
    """How a part ended and what the partner said beside it."""

    verdict: Verdict
    complete: bool = False
    retry_after_us: int = 0
    load_report: dict[str, float] = field(default_factory=dict)
    call_continues: bool = False  # the call goes on for its other parts, and may yet run this one


@dataclass(frozen=True, slots=True)
class Notice:
    """The end of a message that was not delivered: ``dead`` (failed) or ``bounced`` (refused)."""

    message_id: str
    result: str
    wait_ms: int = 0
