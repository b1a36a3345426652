"""The core's ports. An adapter fulfils the contract in its port's docstring; ``tests/contracts`` checks each.

Every network protocol is implemented behind one of these four ports, independently of the others. The core
calls an adapter through the ``Protocol`` class; an adapter calls the core through ``Intake`` or the callbacks
passed to its factory. All calls happen on the event loop's thread.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from mallowlug.core.model import (
    Address,
    Answer,
    Call,
    EndpointList,
    Notice,
    Part,
    PartOutcome,
    Refused,
    Submission,
)
from mossfront.interface import Kind

PartSettled = Callable[[Call, Part, PartOutcome], None]
PartReleased = Callable[[Part], None]


class Intake(Protocol):
    """The core's interface for fronts."""

    def clock(self) -> int:
        """Return the wall time in microseconds, to which deadlines refer."""

    @property
    def refusal(self) -> Refused:
        """The answer where a front cannot accept a request, as while it drains its clients."""

    def submit(self, submission: Submission, body: bytes) -> Answer:
        """Accept a message, refuse it with a wait, or fail it; never raises because of client input.

        ``Accepted`` is returned only once the message is journaled. A known id, open or completed, is the
        same request repeated and is ``Accepted``.
        """


class Front(Protocol):
    """Receives messages from clients and sends each the core's answer.

    - Every complete request gets exactly one answer, in the order of its connection; ``Accepted``,
      ``Refused`` and ``Failed`` differ on the wire, and a refusal carries its wait where the protocol has a
      field for it.
    - Malformed input is answered by an error or a close, within a stated time, and never reaches the core.
    - The number of connections, the bytes buffered for each, and the time in which a request must be complete
      are bounded.
    - After ``drain_clients`` no request is accepted; requests in progress still get an answer.
    """

    @property
    def clients(self) -> int:
        """The number of open connections."""

    async def start(self) -> None:
        """Listen, once the journal has been replayed; raises ``OSError`` where binding fails."""

    def drain_clients(self) -> None:
        """Close every client's connection between two of its requests."""

    def close(self) -> None:
        """Stop listening; idempotent."""


class Partners(Protocol):
    """Sends calls to endpoints and establishes the outcome of each part.

    - Each part of a call is settled exactly once: by its response, its own timeout, a cancel, or a failed
      call.
    - A verdict which proves that a part never ran (``Verdict.never_ran``) is reported only if the last byte
      of its call was not sent, or if the endpoint's complete response says so; once that byte is sent, every
      other part is in doubt. A part that ends while others of its call go on is in doubt from the call's
      first byte on.
    - ``complete`` is reported once the message needs no further attempt, also for a part that timed out
      before.
    - A call ends at the longest timeout of its parts, and is off the wire before they are settled; a part
      with a shorter timeout ends at its own, while the call lasts.
    - A part that ends while its call lasts for others is released once that call is off the wire.
    - Nothing is written twice, and no call is started to an endpoint that is draining, gone, disabled by an
      operator or under a Retry-After wait, even if the call was decided before that became known.
    - A Retry-After wait applies to its route from the response on, and is reported to the core with the parts
      of that response.
    """

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""

    @property
    def messages_written(self) -> int:
        """The number of messages whose calls were written completely, since the start."""

    def apply(self, update: EndpointList) -> None:
        """Apply an endpoint list, or changes of it, at once."""

    def set_kinds(self, kinds: Iterable[Kind]) -> None:
        """Use these definitions of endpoint kinds from now on."""

    def set_disabled(self, host: str, disabled: bool) -> None:
        """Start no call to a host disabled by an operator, whatever the list says, until it is enabled."""

    def remaining_waits(self) -> dict[str, int]:
        """Return the remaining Retry-After waits by route, in microseconds."""

    def restore_waits(self, waits: dict[str, int]) -> None:
        """Apply Retry-After waits received by the previous process, as ``remaining_waits`` returned them."""

    def batch_size(self, host: str) -> int:
        """Return the maximum number of messages in a call to an endpoint."""

    def zone_of(self, host: str) -> str:
        """Return an endpoint's zone; empty where it is unknown."""

    def send(self, call: Call) -> object:
        """Start a call and return at once; the core ignores the returned value."""

    def cancel(self, message_id: str, attempt: int) -> None:
        """Cancel one attempt; its verdict depends on what can be proved at that time."""

    def close_idle(self, host: str) -> None:
        """Close the idle connections to a host."""

    def close(self) -> None:
        """Abort all calls without settling their parts: the journal has their attempts."""


class Directory(Protocol):
    """Reports the list of endpoints that may be called.

    - Updates are reported in the order of their versions, never an older one after a newer one.
    - A change is reported within the time that its protocol needs; silence beyond that is a failure.
    - The end of a subscription is reported once; ``subscribe`` has to be called again to start a new one.
    - An unreadable update changes nothing.
    """

    def subscribe(self) -> None:
        """Subscribe to changes from the current version on; a working subscription is kept."""

    def change_address(self, address: Address) -> None:
        """Continue at another address without losing a change."""

    def close(self) -> None:
        """End the subscription."""


class Notifier(Protocol):
    """Sends final results to the platform as notices.

    - A notice is sent until it is confirmed, possibly repeatedly; the order is not defined.
    - The ``confirmed`` callback is called exactly once for each, and only when the receiver has confirmed it.
    - A notice that the receiver does not understand, or a peer that hangs, does not delay other notices.
    """

    @property
    def unconfirmed(self) -> int:
        """The number of unconfirmed notices."""

    def start(self) -> None:
        """Start sending notices."""

    def change_address(self, address: Address) -> None:
        """Send to another address, including notices that are still unconfirmed."""

    def send(self, notice: Notice) -> None:
        """Send a notice as soon as possible."""

    def close(self) -> None:
        """Stop; unconfirmed notices stay in the journal."""


@dataclass(frozen=True, slots=True)
class Adapters:
    """Factories of the adapters, passed in by the composition root; each receives the core's callbacks."""

    partners: Callable[[PartSettled, PartReleased], Partners]
    directory: Callable[[Callable[[EndpointList], None], Callable[[], None]], Directory]
    notifier: Callable[[Callable[[str], None]], Notifier]
