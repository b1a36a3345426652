"""The rule on duplicated effects: what a relay may send again, and when it may ask a client for a retry."""

from __future__ import annotations

from collections import defaultdict

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.ledger import Attempt, Ledger, Message
from mallowlug.rig.judge.rule import Rule


def is_refusal(event: rec.Notice | rec.ClientOutcome) -> bool:
    """Return whether the event tells the client that a retry is harmless."""
    return event.result == "bounced" if isinstance(event, rec.Notice) else event.what == "refused"


class DuplicateRule(Rule):
    """No duplicated effect: new attempts only if the class allows them, refusals only if a retry is harmless.

    An attempt is in doubt unless an answer before the next attempt's first byte proved that it was not
    processed. A keyed message may be sent again within its window from the first in-doubt attempt, and only
    to the same zone if its key is known by zone. It may be refused only if its key is known until its
    deadline, as the relay that gets the client's retry does not know of the attempts and may hold it until
    then. Two effects of one id that the endpoints saw count as well, and so do two effects of one key under
    several accepted ids; what a relay did with an id that its client had given up counts for nothing.
    Where a site allows no second copies, an attempt must have ended before the next begins. The end of its
    connection may be seen later than the next attempt's first byte by the rules' slack, since the two
    travel on separate connections. A call that a link delayed may arrive after its successor, and its
    connection's end arrives with it.
    """

    name = "twice"

    def __init__(self, ledger: Ledger) -> None:
        super().__init__(ledger)
        self._effects: dict[str, int] = defaultdict(int)
        # By key: the first effect that each message with it had, in order of time.
        self._effects_by_key: dict[str, list[tuple[rec.MessageProcessed, Message]]] = defaultdict(list)
        # Call, message and its attempt, with an earlier attempt that was still open when the call arrived.
        self._parallel_copies: list[tuple[rec.Call, Message, Attempt, Attempt]] = []

    def observe(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.Call):
            for message, attempt in self.ledger.calls[event.call]:
                self._check_repeat(event, message, attempt, [a for a in message.attempts if a is not attempt])
        elif isinstance(event, rec.MessageProcessed):
            self._check_processed(event)
        elif isinstance(event, rec.Notice | rec.ClientOutcome) and is_refusal(event):
            self._check_refusal(event.at, self.ledger.messages.get(event.id))

    def _check_repeat(self, call: rec.Call, message: Message, own: Attempt, earlier: list[Attempt]) -> None:
        cls, figures = message.cls, self.ledger.figures
        if not earlier or cls is None:
            return
        self.checked += 1
        in_doubt = [a for a in earlier if not a.never_ran() or a.ended_us > call.began]
        if not in_doubt:
            return
        relay, ids = message.submitted.relay, [message.submitted.id]
        first = min(in_doubt, key=lambda attempt: attempt.arrived_us)
        if cls.effect == "unsafe":
            self.report(call.at, relay, ids, "sent again though an earlier attempt may have run")
        elif cls.effect == "keyed":
            age_us = self.ledger.earliest_send_us(call) - first.arrived_us
            zone = self.ledger.hosts[call.host].zone
            if cls.by_zone and zone != first.zone:
                self.report(call.at, relay, ids, f"sent again to {zone}, its key is known in {first.zone}")
            elif age_us > cls.window_us + figures.slack_us:
                self.report(call.at, relay, ids, f"sent again, {age_us / 1e6:.2f} s after an attempt")
        if not figures.may_duplicate:
            self._parallel_copies += [(call, message, own, a) for a in in_doubt if a.ended_us < 0]

    def finish(self) -> None:
        self._check_parallel_copies()
        self._check_effects_by_key()

    def _check_parallel_copies(self) -> None:
        slack_us = self.ledger.figures.slack_us
        for call, message, own, earlier in self._parallel_copies:
            abandoned = not own.answered and 0 <= own.ended_us <= call.began + slack_us
            if not abandoned and (earlier.ended_us < 0 or earlier.ended_us > call.began + slack_us):
                self.report(
                    call.at,
                    message.submitted.relay,
                    [message.submitted.id],
                    "a second copy while another was in flight",
                )

    def _check_effects_by_key(self) -> None:
        """Check that no retry, under an id of its own, had an effect that an earlier id had already."""
        for key, effects in self._effects_by_key.items():
            counted = [pair for pair in effects if pair[1].accepted_us >= 0 and not pair[1].exempt]
            if len(counted) > 1:
                event, message = counted[1]
                ids = [message.submitted.id for _, message in counted]
                self.report(event.at, message.submitted.relay, ids, f"key {key} took effect again by a retry")

    def _check_processed(self, event: rec.MessageProcessed) -> None:
        message = self.ledger.messages.get(event.id)
        if message is None or message.cls is None or message.cls.effect == "safe" or not event.effect:
            return
        call = self.ledger.call_of[event.call]
        if message.cls.effect == "keyed" and self.ledger.earliest_send_us(call) < call.began:
            return  # delayed on the link: it may have been sent within the window
        self._effects[event.id] += 1
        if self._effects[event.id] == 1 and message.submitted.key:
            self._effects_by_key[message.submitted.key].append((event, message))
        if self._effects[event.id] == 2:
            self.report(event.at, message.submitted.relay, [event.id], "took effect twice")

    def _check_refusal(self, at_us: int, message: Message | None) -> None:
        """Check that no attempt may have run whose effect the client's retry would duplicate."""
        if message is None or message.cls is None or message.cls.effect == "safe":
            return
        self.checked += 1
        in_doubt = [a for a in message.attempts if not a.never_ran()]
        if in_doubt and not self._key_lasts(message, in_doubt):
            ids = [message.submitted.id]
            self.report(at_us, message.submitted.relay, ids, "refused though an attempt may have run")

    @staticmethod
    def _key_lasts(message: Message, in_doubt: list[Attempt]) -> bool:
        """Return whether the endpoints of all zones know the message's key until its deadline."""
        cls, submitted = message.cls, message.submitted
        if cls is None or cls.effect != "keyed" or cls.by_zone:
            return False
        known_until_us = min(attempt.arrived_us for attempt in in_doubt) + cls.window_us
        return known_until_us >= submitted.at + submitted.left_us
