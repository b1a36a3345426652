"""A message's life as a small written model: which step may follow which, for each effect of a repeat.

    handed in -> taken -> (tried -> refused | failed)* -> tried -> delivered
                       \\-> ended by a notice

A step is one of ``STEPS``. ``dies`` is the end of the relay's process: what it held goes on in the next life,
and a try that was out may have run. A delivery that the process did not live to read may be followed by
another try, where a repeat does no harm. The model says nothing of times and places; the six rules do. Its
use is that it can be explored whole (``explore``), and that every record can be walked along it (``walk``):
a record whose steps the model does not allow shows a fault in relay, rig or model, whatever the rules say.
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
class Life:
    """Where a message stands."""

    effect: Effect
    taken: bool = False
    out: int = 0  # tries whose end is open
    doubt: bool = False  # a try that is over may have run
    delivered: bool = False
    end: str = ""  # the notice that was told


def after(life: Life, step: Step) -> Life | str:
    """The life behind a step, or why that step can't be taken."""
    if step == "dies":
        return replace(life, out=0, doubt=life.doubt or life.out > 0)
    if step == "taken":
        return replace(life, taken=True)  # once more for a request that was repeated
    if step == "try":
        return tried(life)
    if step in ("dead", "bounced"):
        return ended(life, step)
    if life.out == 0:
        return f"{step}, and no try is out"
    if step == "delivered":
        return replace(life, out=life.out - 1, delivered=True)
    return replace(life, out=life.out - 1, doubt=life.doubt or step == "failed")


def tried(life: Life) -> Life | str:
    """A try: never behind an end, which is journaled before it is told; never where it could do harm."""
    if life.end:
        return "tried behind its end"
    if life.delivered and life.effect == "unsafe":
        return "tried behind its delivery"
    if life.effect == "unsafe" and (life.doubt or life.out):
        return "tried though an earlier try may have run"
    return replace(life, out=life.out + 1)


def ended(life: Life, end: str) -> Life | str:
    """A notice: one end only; a refusal only where nothing may have run that a retry would repeat."""
    if life.end and life.end != end:
        return f"{end} behind {life.end}"
    if end == "bounced" and life.effect == "unsafe" and (life.doubt or life.out or life.delivered):
        return "refused though a try may have run"
    return replace(life, end=end)


@dataclass(frozen=True, slots=True)
class World:
    """Some messages of one relay, and how often it may still die and try."""

    lives: tuple[Life, ...]
    tries: tuple[int, ...]  # by message: tries that are left
    kills: int


def steps(world: World) -> Iterator[World]:
    """Every world that one step leads to: of one message, or of the process for all of them."""
    if world.kills:
        dead = [after(life, "dies") for life in world.lives]
        lives = tuple(life for life in dead if isinstance(life, Life))
        yield replace(world, lives=lives, kills=world.kills - 1)
    for at, life in enumerate(world.lives):
        for step in STEPS[:-1]:
            if (step != "taken" and not life.taken) or (step == "try" and not world.tries[at]):
                continue
            found = after(life, step)
            if isinstance(found, Life) and found != life:
                lives = (*world.lives[:at], found, *world.lives[at + 1 :])
                left = world.tries[at] - (step == "try")
                yield World(lives, (*world.tries[:at], left, *world.tries[at + 1 :]), world.kills)


def explore(effects: tuple[Effect, ...], tries: int, kills: int) -> set[World]:
    """Every world that can be reached from messages that were just handed in."""
    first = World(tuple(Life(effect) for effect in effects), (tries,) * len(effects), kills)
    seen, front = {first}, [first]
    while front:
        for world in steps(front.pop()):
            if world not in seen:
                seen.add(world)
                front.append(world)
    return seen


def walk(record: rec.Record) -> list[str]:
    """Every step of a record that the model does not allow, with its time and message."""
    effects = {cls.name: cls.effect for cls in record.head.classes}
    lives: dict[str, Life] = {}
    relays: dict[str, str] = {}
    calls: dict[int, list[str]] = {}
    wiped: dict[str, None] = {}
    problems = list[str]()

    def take(at_us: int, ref: str, step: Step) -> None:
        if ref not in lives or ref in wiped:
            return
        found = after(lives[ref], step)
        if isinstance(found, Life):
            lives[ref] = found
        else:
            problems.append(f"{at_us / 1e6:.6f} s  {ref}: {found}")

    ledger = Ledger(record.head)
    for event in record.events:
        ledger.apply(event)
        match event:
            case rec.MessageSubmitted() if event.cls in effects:
                lives.setdefault(event.id, Life(effects[event.cls]))
                relays[event.id] = event.relay
            case rec.ClientOutcome() if event.what == "taken":
                take(event.at, event.id, "taken")
            case rec.Call() if (
                ledger.earliest_send_us(event) == event.began
            ):  # else held up on its way: no step of now
                calls[event.call] = list(event.ids)
                for ref in event.ids:
                    take(event.at, ref, "try")
            case rec.CallAnswered() if calls.pop(event.call, None) is not None:
                for ref, end in event.ends.items():
                    take(event.at, ref, STEP_OF[end])
            case rec.CallBroken():
                for ref in calls.pop(event.call, []):
                    take(event.at, ref, "failed")
            case rec.Notice():
                take(event.at, event.id, event.result)
            case rec.ProcessEvent() if event.what in ("exit", "wiped"):
                for ref in [ref for ref, relay in relays.items() if relay == event.relay]:
                    take(event.at, ref, "dies")
                    if event.what == "wiped" or ledger.may_lack_records(event.relay, event.at):
                        wiped[ref] = None
                for call in [call for call, refs in calls.items() if relays.get(refs[0]) == event.relay]:
                    del calls[call]
    return problems


STEP_OF: dict[str, Step] = defaultdict(
    lambda: "failed", {"delivered": "delivered", "refused": "refused", "over": "refused", "unsent": "refused"}
)
