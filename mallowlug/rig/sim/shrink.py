"""Minimizes a failing scenario: removes faults, traffic and relays as long as the failure remains.

Delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", IEEE TSE 28(2),
2002): chunks of a list are removed, their size halved down to single items. Every attempt is a simulated run.
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
from mallowlug.rig.sim.sweep import Result, run_scenario
from mallowlug.rig.world import draw
from mallowlug.rig.world.scenario import MessageTable, NetTable, Scenario

MAX_STORY_EVENTS = 14  # events in a story


@dataclass(frozen=True, slots=True)
class MinimizedCase:
    """A minimized scenario that still fails, and the events that led to the failure."""

    scenario: Scenario
    result: Result
    story: tuple[str, ...]
    runs: int


class Shrinker:
    """Tries smaller scenarios, at most ``tries`` of them."""

    def __init__(self, tries: int, failure_signature: frozenset[str], report: Callable[[str], None]) -> None:
        self.left, self.runs, self._signature, self._report = tries, 0, failure_signature, report

    def fails(self, scenario: Scenario) -> bool:
        """Whether the scenario still fails with the same signature."""
        if self.left <= 0:
            return False
        self.left, self.runs = self.left - 1, self.runs + 1
        return bool(run_scenario(scenario).failure_signature & self._signature)

    def remove_items(self, scenario: Scenario, name: str) -> Scenario:
        """Remove items of one of the scenario's lists as long as it still fails."""
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
        self._report(f"{name}: {len(items)} left after {self.runs} runs")
        return scenario

    def simplify(self, scenario: Scenario) -> Scenario:
        """Use default links and as few relays as still fail."""
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


def shrink(scenario: Scenario, tries: int, report: Callable[[str], None]) -> MinimizedCase | None:
    """Return the smallest scenario found with the same failure; None if the scenario does not fail."""
    first = run_scenario(scenario)
    if first.passed:
        return None
    report(f"fails by {', '.join(sorted(first.failure_signature))}")
    shrinker = Shrinker(tries, first.failure_signature, report)
    traffic = tuple(
        MessageTable.model_validate({name: getattr(arrival, name) for name in MessageTable.model_fields})
        for arrival in draw.draw_arrivals(scenario)
    )
    listed = scenario.model_copy(update={"messages": traffic})
    if shrinker.fails(listed):
        scenario = listed
    for name in ("events", "strikes", "messages", "events", "strikes"):
        scenario = shrinker.remove_items(scenario, name)
    scenario = shrinker.simplify(scenario)
    with tempfile.TemporaryDirectory(prefix="sim-") as folder:
        result = run_scenario(scenario, Path(folder))
        story = story_of(rec.read(Path(folder) / "record.jsonl")) if result.state != "error" else []
    return MinimizedCase(
        scenario, result, tuple(story) or result.complaints[:MAX_STORY_EVENTS], shrinker.runs
    )


def write(minimized: MinimizedCase, folder: Path) -> Path:
    """Write the minimized scenario and its story; return the scenario's path."""
    folder.mkdir(parents=True, exist_ok=True)
    settings = minimized.scenario.model_dump(by_alias=True, mode="json", exclude_defaults=True)
    path = folder / "small.toml"
    path.write_text(tomli_w.dumps(settings), encoding="utf-8")
    (folder / "story.txt").write_text("\n".join(minimized.story) + "\n", encoding="utf-8")
    return path


def story_of(record: rec.Record) -> list[str]:
    """The events before the first broken rule, one a line: its messages, its relay's processes, outages."""
    breaches = judge(record).breaches
    if not breaches:
        return []
    breach = breaches[0]
    calls = {e.call: e for e in record.events if isinstance(e, rec.Call) and concerns(e, breach)}
    hosts = {call.host for call in calls.values()}
    lines = list[tuple[int, str]]()
    for event in record.events:
        if event.at <= breach.at_us and (line := describe(event, breach, calls, hosts)):
            lines.append((event.at, line))
    lines.append((breach.at_us, f"BROKEN {breach.rule}: {breach.detail}"))
    if len(lines) > MAX_STORY_EVENTS:  # the first and the last events explain most
        lines = [*lines[: MAX_STORY_EVENTS // 3], *lines[-(MAX_STORY_EVENTS - MAX_STORY_EVENTS // 3) :]]
    return [f"{at / 1e6:10.6f} s  {line}" for at, line in lines]


def concerns(call: rec.Call, breach: Breach) -> bool:
    """Whether a call is related to a breach: by its messages, or by its endpoint if the breach names it."""
    return bool(set(call.ids) & set(breach.ids)) or call.host in breach.ids


def describe(event: rec.AnyEvent, breach: Breach, calls: dict[int, rec.Call], hosts: set[str]) -> str:
    """Describe one event; empty if it is unrelated to the breach."""
    match event:
        case rec.MessageSubmitted() if event.id in breach.ids:
            order = f", order {event.order}" if event.order else ""
            left = f"{event.left_us / 1e6:.2f} s left"
            return f"{event.relay} receives {event.id} ({event.cls}{order}, {left})"
        case rec.ClientOutcome() if event.id in breach.ids:
            return f"client response for {event.id}: {event.what}"
        case rec.Call() if event.call in calls:
            return f"call {event.call} to {event.host} with {', '.join(event.ids)}"
        case rec.MessageProcessed() if event.id in breach.ids:
            return f"call {event.call}: {event.id} executed{'' if event.effect else ' again, without effect'}"
        case rec.CallAnswered() if event.call in calls:
            wait = f", Retry-After {event.wait_us / 1e6:.2f} s" if event.wait_us else ""
            ends = ", ".join(sorted({str(end) for end in event.ends.values()}))
            return f"call {event.call} is answered: {ends}{' (corrupt)' if event.spoilt else ''}{wait}"
        case rec.CallBroken() if event.call in calls:
            return f"call {event.call}: connection closed by the {event.by}"
        case rec.Notice() if event.id in breach.ids:
            return f"{event.relay} sends the final result of {event.id}: {event.result}"
        case rec.ProcessEvent() if event.relay == breach.relay:
            return f"{event.relay}: {event.what} {event.detail}".rstrip()
        case rec.HostStateChange() if event.host in hosts | set(breach.ids):
            return f"{event.host}: {event.state}"
        case rec.StateAnnounced() if event.relay == breach.relay and event.host in hosts:
            return f"{event.relay} is notified that {event.host} is {event.state}"
        case rec.Annotation():
            return f"{event.what} {event.detail}".rstrip()
    return ""
