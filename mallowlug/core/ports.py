"""The core's ports. An adapter keeps the contract in its port's docstring; ``tests/contracts`` checks each.

Whatever speaks a protocol sits behind one of these four and knows nothing of the others. The core calls an
adapter through the protocol class; an adapter calls the core through ``Intake`` or the callbacks that its
factory was given. All of it happens on the one thread of the event loop.
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
    """What the core offers a front."""

    def clock(self) -> int:
        """Wall time in microseconds, which deadlines count by."""

    @property
    def refusal(self) -> Refused:
        """What a front says where it cannot take a request on, as while it parts from its clients."""

    def submit(self, submission: Submission, body: bytes) -> Answer:
        """Take a message on, refuse it with a wait, or fail it; never raises for what a client sent.

        ``Accepted`` is said only once the journal has the message. An id that is known already, open or over,
        is the same request once more and is ``Accepted``.
        """


class Front(Protocol):
    """Takes messages from clients and gives each of them the core's answer.

    - Every whole request gets exactly one answer, in the order of its connection; ``Accepted``, ``Refused``
      and ``Failed`` differ on the wire, and a refusal tells its wait where the protocol has room for one.
    - What cannot be read gets an error or a close, within a stated time, and never reaches the core.
    - Connections, bytes held for one of them, and the time that one may stay half-said are bounded.
    - After ``drain_clients`` no request is taken on; those that are under way still get an answer.
    """

    @property
    def clients(self) -> int:
        """Connections that are open."""

    async def start(self) -> None:
        """Listen, once the journal has been replayed; ``OSError`` where the address cannot be had."""

    def drain_clients(self) -> None:
        """Part from every client between two of its requests."""

    def close(self) -> None:
        """Stop listening; idempotent."""


class Partners(Protocol):
    """Carries calls to endpoints and proves what became of each part.

    - Each part of a call is settled exactly once: by its answer, its own limit, a cancel, or a broken call.
    - A verdict that proves that a part never ran (``Verdict.never_ran``) is told only if the last byte of its
      call is still here, or the endpoint's whole answer says so; once that byte is out, anything else may
      have run. A part that ends while others of its call go on counts as out with the call's first byte.
    - ``complete`` is told once nothing more is owed, also for a part whose own limit has passed before.
    - A call ends at the longest limit of its parts, and is off the wire before they are told; a part with a
      shorter limit ends at its own, while the call lasts.
    - A part that ends while its call lasts for others is released once that call is off the wire.
    - Nothing is written twice, and no call is begun to an endpoint that drains, is gone, out or told to wait,
      whatever was decided before that was heard.
    - A told wait binds its route from the answer on, and is told to the core with that answer's parts.
    """

    @property
    def busy(self) -> bool:
        """Whether a call is out."""

    @property
    def messages_written(self) -> int:
        """Messages whose calls were written whole, since the start."""

    def apply(self, update: EndpointList) -> None:
        """Follow the list at once."""

    def set_kinds(self, kinds: Iterable[Kind]) -> None:
        """Go by these kinds of endpoints from now on."""

    def set_disabled(self, host: str, disabled: bool) -> None:
        """Begin no call to a host that is out by hand, whatever the list says, until it is back."""

    def remaining_waits(self) -> dict[str, int]:
        """By route: how long (us) it is still to be left alone."""

    def restore_waits(self, waits: dict[str, int]) -> None:
        """Heed waits that a process before this one was told, as ``waits`` names them."""

    def batch_size(self, host: str) -> int:
        """How many messages a call there may carry."""

    def zone_of(self, host: str) -> str:
        """Where the endpoint stands; empty where it is not known."""

    def send(self, call: Call) -> object:
        """Begin a call; returns at once. What it returns is the adapter's own affair."""

    def cancel(self, message_id: str, attempt: int) -> None:
        """Call one attempt off; it is settled by what is proved then."""

    def close_idle(self, host: str) -> None:
        """Close connections there that carry no call."""

    def close(self) -> None:
        """Give up everything and settle nothing more: the journal knows what is out."""


class Directory(Protocol):
    """Tells who may be called.

    - News is told in the order of its versions, and never older than what was told before.
    - A change is told within the time that its protocol needs; silence beyond that is a failure.
    - The end of what ``subscribe`` began is told once; it begins anew only when asked to.
    - News that cannot be read changes nothing.
    """

    def subscribe(self) -> None:
        """Follow the list from the version held; one that works is kept."""

    def change_address(self, address: Address) -> None:
        """Follow it at another address, with no change lost between."""

    def close(self) -> None:
        """Stop following."""


class Notifier(Protocol):
    """Brings the ends of messages to those who wait for them.

    - An end that was handed in is owed until it is confirmed, and is told again until then, in any order.
    - ``confirmed`` is called exactly once for each, and only on the other side's word.
    - One that is not understood, or a peer that hangs, holds up no other.
    """

    @property
    def unconfirmed(self) -> int:
        """Ends that are not confirmed."""

    def start(self) -> None:
        """Begin to tell."""

    def change_address(self, address: Address) -> None:
        """Tell them at another address, also those that are owed."""

    def send(self, notice: Notice) -> None:
        """Tell it as soon as may be."""

    def close(self) -> None:
        """Stop; what is owed stays in the journal."""


@dataclass(frozen=True, slots=True)
class Adapters:
    """How the composition root fills the ports behind the core; a factory is given the core's callbacks."""

    partners: Callable[[PartSettled, PartReleased], Partners]
    directory: Callable[[Callable[[EndpointList], None], Callable[[], None]], Directory]
    notifier: Callable[[Callable[[str], None]], Notifier]
