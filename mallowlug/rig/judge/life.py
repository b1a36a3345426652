"""State model of a message: which step may follow which, for each effect of a repeated delivery.

    submitted -> taken -> (try -> refused | failed)* -> try -> delivered
                       \\-> final result by a notice

A step is one of ``STEPS``. ``dies`` is the end of the relay's process: its messages are recovered by the next
process, and an open attempt is in doubt. A delivery whose answer the process did not read before it ended
may be followed by another attempt if a repeat is harmless. The model covers neither times nor zones; the six
rules do. It can be explored completely (``explore``), and the steps of every record can be checked against it
(``find_violations``): a record with a step that the model does not allow shows a fault in relay, rig or
model, whatever the rules report.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Literal

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.ledger import Ledger

Effect = Literal["safe", "keyed", "unsafe"]
Step = Literal["taken", "try", "refused", "failed", "delivered", "dead", "bounced", "dies"]
STEPS: tuple[Step, ...] = ("taken", "try", "refused", "failed", "delivered", "dead", "bounced", "dies")


@dataclass(frozen=True, slots=True)
class MessageState:
    """The state of one message."""

    effect: Effect
    taken: bool = False
    open_attempts: int = 0
    in_doubt: bool = False  # an ended attempt may have run
    delivered: bool = False
    notice: str = ""  # the result in the notice; empty without one


def next_state(state: MessageState, step: Step) -> MessageState | str:
    """Return the state after a step, or the reason why the step is not allowed."""
    if step == "dies":
        return replace(state, open_attempts=0, in_doubt=state.in_doubt or state.open_attempts > 0)
    if step == "taken":
        return replace(state, taken=True)  # again for a repeated request
    if step == "try":
        return after_attempt(state)
    if step in ("dead", "bounced"):
        return after_notice(state, step)
    if state.open_attempts == 0:
        return f"{step} without an open attempt"
    if step == "delivered":
        return replace(state, open_attempts=state.open_attempts - 1, delivered=True)
    return replace(state, open_attempts=state.open_attempts - 1, in_doubt=state.in_doubt or step == "failed")


def after_attempt(state: MessageState) -> MessageState | str:
    """Apply an attempt: not after a notice, whose result is journaled first, nor if a repeat is harmful."""
    if state.notice:
        return "attempted after its final result"
    if state.delivered and state.effect == "unsafe":
        return "attempted after its delivery"
    if state.effect == "unsafe" and (state.in_doubt or state.open_attempts):
        return "attempted though an earlier attempt may have run"
    return replace(state, open_attempts=state.open_attempts + 1)


def after_notice(state: MessageState, end: str) -> MessageState | str:
    """Apply a notice: one result only, and a refusal only if a client's retry cannot repeat an effect."""
    if state.notice and state.notice != end:
        return f"{end} after {state.notice}"
    if (
        end == "bounced"
        and state.effect == "unsafe"
        and (state.in_doubt or state.open_attempts or state.delivered)
    ):
        return "refused though an attempt may have run"
    return replace(state, notice=end)


@dataclass(frozen=True, slots=True)
class ModelState:
    """State of several messages of one relay, and the remaining budget of attempts and process ends."""

    messages: tuple[MessageState, ...]
    attempts_left: tuple[int, ...]  # by message
    kills_left: int


def successors(model: ModelState) -> Iterator[ModelState]:
    """Yield every state that one step leads to: a step of one message, or the process end for all."""
    if model.kills_left:
        ended = [next_state(state, "dies") for state in model.messages]
        messages = tuple(state for state in ended if isinstance(state, MessageState))
        yield replace(model, messages=messages, kills_left=model.kills_left - 1)
    for index, state in enumerate(model.messages):
        for step in STEPS[:-1]:
            if (step != "taken" and not state.taken) or (step == "try" and not model.attempts_left[index]):
                continue
            after = next_state(state, step)
            if isinstance(after, MessageState) and after != state:
                messages = (*model.messages[:index], after, *model.messages[index + 1 :])
                left = model.attempts_left[index] - (step == "try")
                yield ModelState(
                    messages,
                    (*model.attempts_left[:index], left, *model.attempts_left[index + 1 :]),
                    model.kills_left,
                )


def explore(effects: tuple[Effect, ...], attempts: int, kills: int) -> set[ModelState]:
    """Return every state that is reachable from newly submitted messages."""
    first = ModelState(tuple(MessageState(effect) for effect in effects), (attempts,) * len(effects), kills)
    seen, pending = {first}, [first]
    while pending:
        for model in successors(pending.pop()):
            if model not in seen:
                seen.add(model)
                pending.append(model)
    return seen


def find_violations(record: rec.Record) -> list[str]:
    """Return the steps of a record that the model does not allow, each with its time and message."""
    effects = {cls.name: cls.effect for cls in record.head.classes}
    states: dict[str, MessageState] = {}
    relays: dict[str, str] = {}
    calls: dict[int, list[str]] = {}
    wiped: dict[str, None] = {}
    problems = list[str]()

    def apply(at_us: int, ref: str, step: Step) -> None:
        if ref not in states or ref in wiped:
            return
        after = next_state(states[ref], step)
        if isinstance(after, MessageState):
            states[ref] = after
        else:
            problems.append(f"{at_us / 1e6:.6f} s  {ref}: {after}")

    ledger = Ledger(record.head)
    for event in record.events:
        ledger.apply(event)
        match event:
            case rec.MessageSubmitted() if event.cls in effects:
                states.setdefault(event.id, MessageState(effects[event.cls]))
                relays[event.id] = event.relay
            case rec.ClientOutcome() if event.what == "taken":
                apply(event.at, event.id, "taken")
            # A call that a link delayed was sent earlier, so it is no step at this time.
            case rec.Call() if ledger.earliest_send_us(event) == event.began:
                calls[event.call] = list(event.ids)
                for ref in event.ids:
                    apply(event.at, ref, "try")
            case rec.CallAnswered() if calls.pop(event.call, None) is not None:
                for ref, end in event.ends.items():
                    apply(event.at, ref, STEP_OF[end])
            case rec.CallBroken():
                for ref in calls.pop(event.call, []):
                    apply(event.at, ref, "failed")
            case rec.Notice():
                apply(event.at, event.id, event.result)
            case rec.ProcessEvent() if event.what in ("exit", "wiped"):
                for ref in [ref for ref, relay in relays.items() if relay == event.relay]:
                    apply(event.at, ref, "dies")
                    if event.what == "wiped" or ledger.may_lack_records(event.relay, event.at):
                        wiped[ref] = None
                for call in [call for call, refs in calls.items() if relays.get(refs[0]) == event.relay]:
                    del calls[call]
    return problems


STEP_OF: dict[str, Step] = defaultdict(
    lambda: "failed", {"delivered": "delivered", "refused": "refused", "over": "refused", "unsent": "refused"}
)
