"""A failure made small: faults, traffic and relays are taken away for as long as it stays; the rest is told.

Delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", IEEE TSE 28(2),
2002): chunks of a list are left out, halved until single items are. Every try is a run of the simulation.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import tomli_w

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.rule import Breach
from mallowlug.rig.judge.rules import judge
from mallowlug.rig.sim.sweep import Result, played
from mallowlug.rig.world import draw
from mallowlug.rig.world.scenario import MessageTable, NetTable, Scenario

MOST_STORY = 14  # events that a story tells


@dataclass(frozen=True, slots=True)
class Small:
    """A small scenario that still fails, and what happens in it."""

    scenario: Scenario
    result: Result
    story: tuple[str, ...]
    runs: int


class Shrinker:
    """Tries smaller scenarios, so many at most."""

    def __init__(self, tries: int, signs: frozenset[str], tell: Callable[[str], None]) -> None:
        self.left, self.runs, self._signs, self._tell = tries, 0, signs, tell

    def fails(self, scenario: Scenario) -> bool:
        """Whether it still fails in the same way."""
        if self.left <= 0:
            return False
        self.left, self.runs = self.left - 1, self.runs + 1
        return bool(played(scenario).signs & self._signs)

    def fewer(self, scenario: Scenario, name: str) -> Scenario:
        """The scenario with as few of a list's items as still fail."""
        items: Sequence[Any] = getattr(scenario, name)
        size = max(1, len(items) // 2) if items else 0
        while size:
            at = 0
            while at < len(items):
                rest = (*items[:at], *items[at + size :])
                if self.fails(smaller := scenario.model_copy(update={name: rest})):
                    scenario, items = smaller, rest
                else:
                    at += size
            size //= 2
        self._tell(f"{name}: {len(items)} left after {self.runs} runs")
        return scenario

    def plainer(self, scenario: Scenario) -> Scenario:
        """The scenario on plain links, with the fewest relays."""
        if scenario.net != NetTable():
            plain = scenario.model_copy(update={"net": NetTable()})
            scenario = plain if self.fails(plain) else scenario
        lists = scenario.events, scenario.strikes, scenario.messages
        needed = 1 + max((item.relay for items in lists for item in items), default=0)
        if needed < scenario.relays.count:
            relays = scenario.relays.model_copy(update={"count": needed})
            fewer = scenario.model_copy(update={"relays": relays})
            scenario = fewer if self.fails(fewer) else scenario
        return scenario


def shrink(scenario: Scenario, tries: int, tell: Callable[[str], None]) -> Small | None:
    """The smallest scenario found that fails as this one does; None where it does not fail."""
    first = played(scenario)
    if first.passed:
        return None
    tell(f"fails by {', '.join(sorted(first.signs))}")
    shrinker = Shrinker(tries, first.signs, tell)
    traffic = tuple(
        MessageTable.model_validate({name: getattr(arrival, name) for name in MessageTable.model_fields})
        for arrival in draw.draw_arrivals(scenario)
    )
    listed = scenario.model_copy(update={"messages": traffic})
    if shrinker.fails(listed):
        scenario = listed
    for name in ("events", "strikes", "messages", "events", "strikes"):
        scenario = shrinker.fewer(scenario, name)
    scenario = shrinker.plainer(scenario)
    with tempfile.TemporaryDirectory(prefix="sim-") as folder:
        result = played(scenario, Path(folder))
        story = story_of(rec.read(Path(folder) / "record.jsonl")) if result.state != "error" else []
    return Small(scenario, result, tuple(story) or result.complaints[:MOST_STORY], shrinker.runs)


def write(small: Small, folder: Path) -> Path:
    """Write the small scenario and its story; the scenario's path."""
    folder.mkdir(parents=True, exist_ok=True)
    told = small.scenario.model_dump(by_alias=True, mode="json", exclude_defaults=True)
    path = folder / "small.toml"
    path.write_text(tomli_w.dumps(told), encoding="utf-8")
    (folder / "story.txt").write_text("\n".join(small.story) + "\n", encoding="utf-8")
    return path


def story_of(record: rec.Record) -> list[str]:
    """What led to the first breach, an event a line: its messages, its relay's lives, outages."""
    breaches = judge(record).breaches
    if not breaches:
        return []
    breach = breaches[0]
    calls = {e.call: e for e in record.events if isinstance(e, rec.Call) and touches(e, breach)}
    hosts = {call.host for call in calls.values()}
    lines = list[tuple[int, str]]()
    for event in record.events:
        if event.at <= breach.at_us and (line := told(event, breach, calls, hosts)):
            lines.append((event.at, line))
    lines.append((breach.at_us, f"BROKEN {breach.rule}: {breach.detail}"))
    if len(lines) > MOST_STORY:  # what came first and what came last say most
        lines = [*lines[: MOST_STORY // 3], *lines[-(MOST_STORY - MOST_STORY // 3) :]]
    return [f"{at / 1e6:10.6f} s  {line}" for at, line in lines]


def touches(call: rec.Call, breach: Breach) -> bool:
    """Whether a call has to do with a breach: its messages, or its endpoint where that is the breach's."""
    return bool(set(call.ids) & set(breach.ids)) or call.host in breach.ids


def told(event: rec.AnyEvent, breach: Breach, calls: dict[int, rec.Call], hosts: set[str]) -> str:
    """One event in a reader's words; empty where it has nothing to do with the breach."""
    match event:
        case rec.Ask() if event.id in breach.ids:
            order = f", order {event.order}" if event.order else ""
            left = f"{event.left_us / 1e6:.2f} s left"
            return f"{event.relay} is handed {event.id} ({event.cls}{order}, {left})"
        case rec.Said() if event.id in breach.ids:
            return f"the client hears of {event.id}: {event.what}"
        case rec.Call() if event.call in calls:
            return f"call {event.call} to {event.host} with {', '.join(event.ids)}"
        case rec.Ran() if event.id in breach.ids:
            return f"call {event.call}: {event.id} runs{'' if event.effect else ' again, with no effect'}"
        case rec.Answer() if event.call in calls:
            wait = f", told to wait {event.wait_us / 1e6:.2f} s" if event.wait_us else ""
            ends = ", ".join(sorted({str(end) for end in event.ends.values()}))
            return f"call {event.call} is answered: {ends}{' (spoilt)' if event.spoilt else ''}{wait}"
        case rec.Gone() if event.call in calls:
            return f"call {event.call}: the connection ends, by the {event.by}"
        case rec.Notice() if event.id in breach.ids:
            return f"{event.relay} tells the end of {event.id}: {event.result}"
        case rec.Process() if event.relay == breach.relay:
            return f"{event.relay}: {event.what} {event.detail}".rstrip()
        case rec.Life() if event.host in hosts | set(breach.ids):
            return f"{event.host}: {event.state}"
        case rec.Told() if event.relay == breach.relay and event.host in hosts:
            return f"{event.relay} is told that {event.host} is {event.state}"
        case rec.Mark():
            return f"{event.what} {event.detail}".rstrip()
    return ""
