"""Data types of the decision engine: settings, events and actions.

Times are integers in microseconds and carry the suffix ``_us``. All types are immutable. A caller builds
settings and events, passes them to ``mossfront.engine.DecisionEngine`` and carries out the returned actions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a message may be repeated: always, within its key's deduplication window, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Verdict(Enum):
    """The result of one attempt or probe."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def never_ran(self) -> bool:
        """Whether this verdict proves that the attempt had no effect."""
        return self in (Verdict.FULL, Verdict.CONNECT_FAILED, Verdict.NOT_SENT)


class EndpointUpdateKind(Enum):
    """How an update relates to the endpoint list known so far."""

    CHANGES = "changes"  # only the entries that changed
    FULL = "whole"  # the complete list
    CACHED = "cached"  # the complete list as it was stored earlier
    REACTIVATED = "awake"  # endpoints of destinations in use again; they were on the list all the time
    FAILED = "failed"  # the request for the list failed


class Listing(Enum):
    """An endpoint's state in the directory; it says nothing about its health."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of messages: its value, its times and whether its messages may be repeated."""

    name: str
    effect: Effect
    aim_us: int  # target time for delivery, at least 1
    deadline_us: int  # time until which the final answer is due
    worth: float = 1.0  # value of a delivery by the target time
    late_worth: float = 0.0  # value of a delivery at the deadline
    window_us: int = 0  # how long endpoints recognize a repeated key
    scope_is_zone: bool = False  # a key is recognized only within one zone
    in_order: bool = False  # messages with the same key are delivered in order of arrival


@dataclass(frozen=True, slots=True)
class Tenant:
    """A member that shares the service, and its rate quota over all relays."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination."""

    name: str
    separate_routes: bool = False  # its endpoints have separate limits and waits
    batch_size: int = 1  # messages that one call may carry


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of one relay. Some fields keep the names of their configuration keys."""

    max_calls: int  # calls in flight at a time
    classes: tuple[MessageClass, ...]
    kinds: tuple[Kind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    # Cost of a call into a zone, as a share of the message's deadline.
    zone_fees: dict[str, float] = field(default_factory=dict)
    group_size: int = 1  # relays that share the endpoints
    max_held_messages: int = 1000
    max_attempts: int = 1
    round_us: int = 1000  # shortest delay of a timer
    keepalive_us: int = 60_000_000  # endpoints close connections that were idle for so long
    may_duplicate: bool = False  # a message may have several attempts in flight
    may_cancel: bool = False
    may_probe: bool = False
    advise_retry: bool = False  # a refusal may carry a Retry-After time, up to max_retry_after_us
    max_retry_after_us: int = 0
    must_subscribe: bool = False  # changes of the endpoint list arrive only after ``Subscribe``
    # The endpoint list is pushed to an agent next to the relay, which answers at once and at no cost.
    list_is_pushed: bool = False
    ask_within_us: int = 0  # time within which a change of the endpoint list has to be received
    rate_hints_given: bool = False  # the directory lists a rate hint for each endpoint
    rate_hints_rough: bool = False  # the rate hints are inexact
    worth_halves: bool = False  # a message's value decays by halves instead of linearly
    over_share_worth: float = 1.0  # factor of the value of messages beyond their tenant's quota
    drain_grace_us: int = 0  # how long a draining or removed endpoint may still be called
    # A cold endpoint that is sent more than ``fall_multiple`` times its present capacity for ``fall_us``
    # collapses from overload.
    fall_multiple: float = 2.0
    fall_us: int = 1_000_000
    cold_from: float = 0.2  # share of its capacity that an endpoint has at its return
    warm_within_us: int = 10_000_000  # time from the return to full capacity
    answer_slack_us: int = 0  # how late after its deadline a message may get its final answer
    order_pause_us: int = 0  # pause of an ordering key after an attempt in doubt

    def __post_init__(self) -> None:
        """Raise ValueError, which names the field, for settings that cannot work."""
        for name in (
            "max_calls",
            "group_size",
            "max_held_messages",
            "max_attempts",
            "round_us",
            "fall_us",
        ):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")
        for name in (
            "max_retry_after_us",
            "ask_within_us",
            "drain_grace_us",
            "warm_within_us",
            "keepalive_us",
            "answer_slack_us",
            "order_pause_us",
            "over_share_worth",
        ):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")
        if not 0 < self.cold_from <= 1:
            raise ValueError("cold_from: must lie above 0 and at most at 1")
        if self.fall_multiple <= 0:
            raise ValueError("fall_multiple: must be positive")
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if len({cls.name for cls in self.classes}) < len(self.classes):
            raise ValueError("classes: duplicate name")
        for cls in self.classes:
            if not isinstance(cls.effect, Effect):
                raise ValueError(f"classes.{cls.name}.effect: unknown effect {cls.effect!r}")
            for name, least_us in (("aim_us", 1), ("deadline_us", 1), ("window_us", 0)):
                if getattr(cls, name) < least_us:
                    raise ValueError(f"classes.{cls.name}.{name}: must be at least {least_us}")
        for kind in self.kinds:
            if kind.batch_size < 1:
                raise ValueError(f"kinds.{kind.name}.batch_size: must be at least 1")


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint as the directory lists it."""

    host: str
    dest: int
    zone: str
    kind: str
    listing: Listing
    rate_hint: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list.

    ``added_later``: the entries are endpoints in use that were added after the first list and may be new.
    """

    kind: EndpointUpdateKind
    entries: tuple[EndpointEntry, ...] = ()
    added_later: bool = False


@dataclass(frozen=True, slots=True)
class DeliveryRules:
    """The rules of a message from its acceptance to its final answer, also after a change of settings."""

    cls: MessageClass
    max_attempts: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """An accepted message; it must get exactly one final answer within ``time_left_us``.

    Its times count from ``received_us`` on the clock of the steps, as it may have waited for this step or for
    a restart to read all recovered messages (-1: they count from this step). The five fields before it
    describe what happened before a restart: the attempts made, the age and the zone of the first attempt in
    doubt (-1: none), the rules under which the message was accepted, and whether it was recovered without
    any attempt.
    """

    id: str
    dest: int
    cls: str
    time_left_us: int
    tenant: str = ""
    key: str = ""
    attempts: int = 0
    in_doubt_age_us: int = -1
    in_doubt_zone: str = ""
    rules: DeliveryRules | None = None  # None: those of the present settings
    recovered_untried: bool = False  # takes precedence over all other messages
    received_us: int = -1


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one attempt."""

    id: str
    attempt: int
    host: str
    verdict: Verdict
    elapsed_us: int
    complete: bool = False
    retry_after_us: int = 0
    limit_remaining: float | None = None  # unused share of the announced rate limit; None: not reported
    limit_per_s: float | None = None  # announced rate limit for all relays; None: not reported
    call_continues: bool = False  # the call remains open for other messages until ``CallEnded``


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of one probe."""

    host: str
    verdict: Verdict
    elapsed_us: int
    limit_remaining: float | None = None  # unused share of the announced rate limit; None: not reported
    limit_per_s: float | None = None  # announced rate limit for all relays; None: not reported


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A requested timer has expired."""


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client withdrew this message; no final answer is due."""

    id: str


@dataclass(frozen=True, slots=True)
class CallEnded:
    """The call of an attempt whose outcome is known has ended; from now on the endpoint cannot start it."""

    id: str
    attempt: int


class OutageRecordKind(Enum):
    """What a process knows about an endpoint that may be down or cold."""

    OUTAGE = "outage"  # it was down, and no return has been observed
    SUSPICION = "suspicion"  # a call failed; whether this is an outage is not yet known
    RECOVERY = "return"  # its return was observed; it is cold


@dataclass(frozen=True, slots=True)
class OutageRecord:
    """An endpoint may be down or cold for ``valid_for_us`` from now; after a return, until it is warm.

    As an action: store this record for the time after a restart. As an event: the record was stored before
    the restart.
    """

    host: str
    valid_for_us: int
    kind: OutageRecordKind = OutageRecordKind.OUTAGE
    served_share: float = 1.0  # share of the destination's messages delivered before the failure


@dataclass(frozen=True, slots=True)
class DestinationIdle:
    """A destination has not been used for a long time; its state may be dropped until it is used again."""

    dest: int


@dataclass(frozen=True, slots=True)
class HostOverride:
    """An operator disables an endpoint, whatever the list says, or enables it as a new, cold process."""

    host: str
    disabled: bool


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """State of an endpoint that the process before a handover learned, for its successor."""

    host: str
    wait_us: int  # how long it must not be called
    quota: float  # calls allowed in flight
    send_rate_per_s: float  # this relay's own; 0: unlimited
    announced_rate_per_s: float  # for all relays together; 0: none announced
    cold_for_us: int = -1  # time since its return; -1: it is not in slow start
    next_call_in_us: int = 0  # time until a cold one can take the next call


@dataclass(frozen=True, slots=True)
class DispatchPaused:
    """Stop sending from now on, or (``paused`` false) resume.

    Messages whose time is over still get their final answer.
    """

    paused: bool


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply from now on; open messages keep the rules under which they were accepted."""

    settings: Settings


Event = (
    Arrival
    | HostOverride
    | OutageRecord
    | SettingsChanged
    | DestinationIdle
    | EndpointSnapshot
    | Outcome
    | DispatchPaused
    | ProbeResult
    | CallEnded
    | EndpointUpdate
    | TimerDue
    | MessageWithdrawn
)


@dataclass(frozen=True, slots=True)
class Send:
    """Call an endpoint with a message, within ``timeout_us`` of the step's time.

    ``start_within_us``: the call must start within this time (0: any time), as its key expires then.
    """

    id: str
    host: str
    timeout_us: int
    start_within_us: int = 0


class GiveUpReason(Enum):
    """Why a message gets a final answer without delivery; the values are metric labels and log words."""

    NO_TIME = "no time for a further call"
    WAIT_EXCEEDS_DEADLINE = "told to wait beyond its time"
    NO_ATTEMPTS_LEFT = "no try left"
    NOT_REPEATABLE = "may have run, and may not be repeated"
    KEY_EXPIRED = "may have run, and its key is known no longer"
    BACKLOG_FULL = "too many messages are held"


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: returned to the client, which may safely retry at any relay before the deadline."""

    id: str
    retry_after_us: int = 0
    reason: GiveUpReason = field(default=GiveUpReason.NO_TIME, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up; the message may or may not have taken effect."""

    id: str
    reason: GiveUpReason = field(default=GiveUpReason.NO_TIME, compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to an endpoint, so that the next call opens a fresh one."""

    host: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint without a message."""

    host: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list at the directory."""


@dataclass(frozen=True, slots=True)
class DestinationDeactivated:
    """The state of an idle destination was dropped; nothing depended on it any more."""

    dest: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a ``TimerDue`` after this delay."""

    delay_us: int


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for the operators."""

    line: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | CloseIdle
    | Probe
    | Subscribe
    | DestinationDeactivated
    | SetTimer
    | Log
    | OutageRecord
)
