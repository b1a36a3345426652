"""Values exchanged between the core and its ports: plain data, without I/O or terms of a wire protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowlug.core.reasons import RejectReason
from mossfront.interface import EndpointEntry, Verdict

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Parse ``host:port`` into a socket address; raises ``ValueError`` where it is malformed."""
    host, sign, port = text.rpartition(":")
    if not sign or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Submission:
    """A message as a client submits it; ``deadline_us`` is wall time."""

    id: str
    dest: int
    cls: str
    deadline_us: int
    tenant: str = ""
    order: str = ""
    key: str = ""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The message is journaled: the relay guarantees a final result, and no client need resubmit it."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was stored; the client may safely resubmit after ``wait_ms``."""

    wait_ms: int
    reason: RejectReason = field(default=RejectReason.SHUTTING_DOWN, compare=False)


@dataclass(frozen=True, slots=True)
class Failed:
    """Nothing was stored, and resubmitting the message unchanged would fail again."""

    reason: str


Answer = Accepted | Refused | Failed


@dataclass(frozen=True, slots=True)
class ResolvedEndpoint:
    """An endpoint with the address at which this relay reaches it."""

    entry: EndpointEntry
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One update from the directory: the full list (``full``), or the changed endpoints only."""

    seq: int
    full: bool
    hosts: tuple[ResolvedEndpoint, ...]


@dataclass(slots=True, eq=False)
class Part:
    """One message's attempt within a call; ``timeout_us`` counts from the call's ``sent_s``.

    ``start_within_us``: time from ``sent_s`` after which its first byte must not be sent any more, as the
    endpoint's deduplication window ends (0: no limit).
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
    """One call: an endpoint and the parts sent together.

    ``sent_s``: loop time of the decision. The limits count from there, as deciding and journaling take time
    by which a call would otherwise exceed its messages' deadlines and deduplication windows.
    """

    host: str
    parts: list[Part]
    sent_s: float

    @property
    def open(self) -> list[Part]:
        """The parts without an outcome."""
        return [part for part in self.parts if not part.settled]


@dataclass(frozen=True, slots=True)
class PartOutcome:
    """The outcome of a part and what the endpoint reported with it.

    ``complete``: the message needs no further attempt. ``retry_after_us``: the Retry-After wait (0: none).
    """

    verdict: Verdict
    complete: bool = False
    retry_after_us: int = 0
    load_report: dict[str, float] = field(default_factory=dict)
    call_continues: bool = False  # for its other parts, and may still run this one


@dataclass(frozen=True, slots=True)
class Notice:
    """The final result of an undelivered message: ``dead`` (failed) or ``bounced`` (refused)."""

    message_id: str
    result: str
    wait_ms: int = 0
