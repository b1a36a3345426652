"""The vocabulary of the decision module: settings, events, actions and outcomes.

Times are whole microseconds and carry the suffix ``_us``. Everything here is a frozen value; a caller
builds settings and events, hands them to ``mossfront.engine.Relay`` and carries out the actions it returns.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a message does: nothing, nothing within a window, or harm."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Verdict(Enum):
    """How one attempt (or probe) ended."""

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
    """What a piece of news about the endpoint list is."""

    CHANGES = "changes"
    FULL = "whole"
    CACHED = "cached"
    REACTIVATED = "awake"  # endpoints of destinations that are used again: listed all along, and no news
    FAILED = "failed"


class Listing(Enum):
    """How the directory lists an endpoint; it says nothing of health."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """What a class of message is worth, when it is wanted and whether it may be repeated."""

    name: str
    effect: Effect
    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    window_us: int = 0
    scope_is_zone: bool = False
    in_order: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A member sharing the service and the rate that it may use across all relays."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination: whether its endpoints are separate routes, and messages to a call."""

    name: str
    separate_routes: bool = False
    batch_size: int = 1


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a relay is told at its start."""

    max_calls: int
    classes: tuple[MessageClass, ...]
    kinds: tuple[Kind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    zone_fees: dict[str, float] = field(default_factory=dict)
    group_size: int = 1
    max_held_messages: int = 1000
    max_attempts: int = 1
    round_us: int = 1000
    keepalive_us: int = 60_000_000
    may_duplicate: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    advise_retry: bool = False
    max_retry_after_us: int = 0
    must_subscribe: bool = False
    list_is_pushed: bool = (
        False  # lists come to an agent beside the relay, which answers at once and at no cost
    )
    ask_within_us: int = 0
    rate_hints_given: bool = False
    rate_hints_rough: bool = False
    worth_halves: bool = False
    over_share_worth: float = 1.0
    drain_grace_us: int = 0
    fall_multiple: float = 2.0
    fall_us: int = 1_000_000
    cold_from: float = 0.2
    warm_within_us: int = 10_000_000
    answer_slack_us: int = 0
    order_pause_us: int = 0

    def __post_init__(self) -> None:
        """Refuse settings that cannot work, naming the field."""
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
            raise ValueError("classes: a name stands twice")
        for cls in self.classes:
            if not isinstance(cls.effect, Effect):
                raise ValueError(f"classes.{cls.name}.effect: unknown effect {cls.effect!r}")
            if cls.aim_us < 0 or cls.deadline_us < 1 or cls.window_us < 0:
                raise ValueError(f"classes.{cls.name}.deadline_us: times must not be negative")
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
    """News of the endpoint list.

    ``added_later``: of used endpoints that came after the first list, perhaps new.
    """

    kind: EndpointUpdateKind
    entries: tuple[EndpointEntry, ...] = ()
    added_later: bool = False


@dataclass(frozen=True, slots=True)
class DeliveryRules:
    """What a message lives and ends by, whatever the settings say later: its class, and its most attempts."""

    cls: MessageClass
    max_attempts: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message taken in; it must get exactly one final answer within ``time_left_us``.

    Its times count from ``received_us`` by the steps' clock: it may have waited for the step that takes it
    in, or for a restart to read all that was left (-1: from that step on). The five fields before it speak of
    a former life of this relay: attempts made, how long ago and in which zone the first of them was made that
    may have run (-1: none may), the rules that it was taken on under, and whether a restart found it untried.
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
    rules: DeliveryRules | None = (
        None  # those under which it was taken on, where they are not the present ones
    )
    recovered_untried: bool = False  # such a one goes before all else
    received_us: int = -1


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt ended."""

    id: str
    attempt: int
    host: str
    verdict: Verdict
    elapsed_us: int
    complete: bool = False
    retry_after_us: int = 0
    limit_remaining: float | None = None
    limit_per_s: float | None = None
    call_continues: bool = (
        False  # its call stays on the wire for others; ``CallEnded`` tells when it no longer is
    )


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """How one probe ended."""

    host: str
    verdict: Verdict
    elapsed_us: int
    limit_remaining: float | None = None
    limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A wake-up that was asked for has come."""


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """Nobody wants this message any more; no answer is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class CallEnded:
    """The call of an attempt that had its outcome before is off the wire: only now nothing of it begins."""

    id: str
    attempt: int


class OutageRecordKind(Enum):
    """What a process knows of an endpoint that may be down or cold."""

    OUTAGE = "outage"  # it was down, and has not been seen back
    SUSPICION = "suspicion"  # a call has failed, and nothing has told yet whether that was an outage
    RECOVERY = "return"  # it has been seen back, and is cold


@dataclass(frozen=True, slots=True)
class OutageRecord:
    """An endpoint may be down or cold for so long from now; behind a return, until it is warm.

    As an action: keep this for a later life. As an event: a former life has seen it.
    """

    host: str
    valid_for_us: int
    kind: OutageRecordKind = OutageRecordKind.OUTAGE
    served_share: float = 1.0  # of the destination's messages, that was delivered before it failed


@dataclass(frozen=True, slots=True)
class DestinationIdle:
    """A destination has not been used for long; the relay may let go of it until it is."""

    dest: int


@dataclass(frozen=True, slots=True)
class HostOverride:
    """Staff leave an endpoint out, whatever the list says, or take it back: then as a new, cold process."""

    host: str
    disabled: bool


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """What the process that served before has learned of an endpoint, to go on from."""

    host: str
    wait_us: int  # how long it is still to be left alone
    quota: float
    send_rate_per_s: float  # own calls/s; 0: none
    announced_rate_per_s: float  # calls/s told for all; 0: not told
    cold_for_us: int = -1  # how long ago its cold return began; -1: it is warm, or out
    next_call_in_us: int = 0  # how long until a cold one bears the next call


@dataclass(frozen=True, slots=True)
class DispatchPaused:
    """Nothing is sent from now on, or (``paused`` false) it is again.

    What has no time left is still answered.
    """

    paused: bool


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings count from now on; messages that are open keep the rules under which they came."""

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

    ``start_within_us``: only within so long (0: any time), as its key is known.
    """

    id: str
    host: str
    timeout_us: int
    start_within_us: int = 0


class GiveUpReason(Enum):
    """Why a message gets its final answer without having been delivered."""

    NO_TIME = "no time for a further call"
    WAIT_EXCEEDS_DEADLINE = "told to wait beyond its time"
    NO_ATTEMPTS_LEFT = "no try left"
    NOT_REPEATABLE = "may have run, and may not be repeated"
    KEY_EXPIRED = "may have run, and its key is known no longer"
    BACKLOG_FULL = "too many messages are held"


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: handed back, a retry is harmless."""

    id: str
    retry_after_us: int = 0
    reason: GiveUpReason = field(default=GiveUpReason.NO_TIME, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up, nothing is promised."""

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
    """Ask the directory for the list's changes from now on."""


@dataclass(frozen=True, slots=True)
class DestinationDeactivated:
    """Nothing binds an idle destination, and nothing of it is kept here any more."""

    dest: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a ``TimerDue`` after this delay."""

    delay_us: int


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

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
