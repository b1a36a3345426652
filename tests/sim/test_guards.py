"""Rules that two guards keep: the engine does not send, and the adapter does not write earlier decisions.

With one guard disabled the other may keep the rule over whole sweeps, so each seeded fault has to be
detected for its own guard: the engine's by the invariant monitor, the adapter's by the judge, in scenarios
where a wait or a drain comes between a decision and its first byte.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import pytest

from mallowlug.partners import http_calls
from mallowlug.rig.sim.faults import swarm
from mallowlug.rig.sim.guards import MAX_REPORTS, InvariantMonitor
from mallowlug.rig.sim.sweep import run_scenario
from mallowlug.rig.world import scenario
from mossfront import engine
from mossfront import interface as api
from tests.sim.worlds import Patch, planted
from tests.support import (
    KEYED,
    ORDERED,
    SAFE,
    SECOND,
    UNSAFE,
    arrival,
    attempt_outcome,
    endpoint_update,
    entry,
    settings,
)
from tests.world import ROOT

SWARM = scenario.load(ROOT / "scenarios" / "swarm.toml")
STAFF = scenario.load(ROOT / "scenarios" / "staff.toml")


def heard(change: Callable[[Any], Any]) -> Patch:
    """Change each event that the engine receives; events changed to None are dropped."""

    def patch(monkey: pytest.MonkeyPatch) -> None:
        real = engine.DecisionEngine.step

        def step(self: engine.DecisionEngine, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
            return real(self, now_us, [told for event in events if (told := change(event)) is not None])

        monkey.setattr(engine.DecisionEngine, "step", step)

    return patch


def waitless(event: Any) -> Any:
    """Remove the Retry-After wait of an outcome."""
    return replace(event, retry_after_us=0) if isinstance(event, api.Outcome) else event


def drainless(event: Any) -> Any:
    """List draining endpoints as ready."""
    if not isinstance(event, api.EndpointUpdate):
        return event
    ready = api.Listing.READY
    entries = (replace(e, listing=ready) if e.listing is api.Listing.DRAINING else e for e in event.entries)
    return replace(event, entries=tuple(entries))


def handless(event: Any) -> Any:
    """Drop the overrides of hosts by operators."""
    return None if isinstance(event, api.HostOverride) else event


def turns_for_all(monkey: pytest.MonkeyPatch) -> None:
    """The order of messages with the same key is ignored."""
    monkey.setattr(engine.DecisionEngine, "_allowed_by_key_order", lambda self, message: True)


def no_ends(monkey: pytest.MonkeyPatch) -> None:
    """Held messages do not expire."""
    monkey.setattr(engine.DecisionEngine, "_expire_held", lambda self: None)


def nothing_runs(monkey: pytest.MonkeyPatch) -> None:
    """Every failed attempt is treated as if it never ran."""
    monkey.setattr(api.Verdict, "never_ran", property(lambda self: True))


def unwaiting(monkey: pytest.MonkeyPatch) -> None:
    """The adapter writes what was decided, even if a wait was announced since."""
    monkey.setattr(http_calls.HttpPartners, "wait_left_us", lambda self, host: 0)


def serving(monkey: pytest.MonkeyPatch) -> None:
    """The adapter writes what was decided, even if the host was drained or disabled since."""
    monkey.setattr(http_calls.HttpPartners, "_may_call", lambda self, host: host in self._listed)


MODULE: dict[str, tuple[Patch, scenario.Scenario, int, str]] = {
    "waits": (heard(waitless), SWARM, 1, "waits"),
    "drains": (heard(drainless), SWARM, 7, "drains"),
    "drains by hand": (heard(handless), STAFF, 1, "drains"),
    "order": (turns_for_all, SWARM, 1, "order"),
    "twice": (nothing_runs, SWARM, 1, "twice"),
    "lost": (no_ends, SWARM, 1, "lost"),
}
HELD_BY_THE_ADAPTER = ("waits", "drains", "drains by hand")


@pytest.mark.parametrize("name", MODULE)
def test_a_guard_of_the_module_is_missed_though_the_adapter_keeps_the_rule(name: str) -> None:
    patch, world, seed, rule = MODULE[name]
    assert run_scenario(swarm(world, seed)).complaints == ()
    with planted(patch):
        result = run_scenario(swarm(world, seed))
    assert any(line.startswith(f"guard: {rule}: ") for line in result.complaints)
    if name in HELD_BY_THE_ADAPTER:  # the judge alone finds nothing wrong
        assert result.rules == ()


def far(latency_ms: float, **changes: Any) -> scenario.Scenario:
    """A scenario without faults, on links so slow that much is announced while a connection is set up."""
    kinds = [
        kind.model_copy(
            update={"limited": True, "headroom": (0.3, 0.5), "wait_ms": (2000, 2500), "apart": False,
                    "batch": 1, "tells_wait": 1.0}
        )
        for kind in SWARM.kinds
    ]  # fmt: skip
    clients = SWARM.clients.model_copy(update={"answer_s": 3.0})
    net = scenario.NetTable(latency_ms=(latency_ms, latency_ms))
    told = {"seed": 1, "net": net, "kinds": tuple(kinds), "clients": clients} | changes
    return SWARM.model_copy(update=told)


def draining() -> scenario.Scenario:
    """Endpoints drain all the time, on links slower than any limit of the rules allows for."""
    events = [{"at_s": 2.0 + at, "what": "drain", "count": 2, "len_s": 1.0} for at in range(10)]
    return far(200, seed=2, events=tuple(map(scenario.EventTable.model_validate, events)))


@pytest.mark.parametrize(
    ("patch", "world", "rule"), [(unwaiting, lambda: far(45), "waits"), (serving, draining, "drains")]
)
def test_a_guard_of_the_adapter_is_missed_though_the_module_has_its_own(
    patch: Patch, world: Callable[[], scenario.Scenario], rule: str
) -> None:
    before = run_scenario(world())
    with planted(patch):
        result = run_scenario(world())
    assert rule not in before.rules and rule in result.rules
    assert not any(line.startswith("guard: ") for line in (*before.complaints, *result.complaints))


def test_of_what_is_handed_over_nothing_is_lost_on_endpoints_that_are_listed_later() -> None:
    """An upgrade's new process is killed at once; the old one had waits but no endpoint list (70640)."""
    world = scenario.load(ROOT / "scenarios" / "upgrade.toml")
    result = run_scenario(swarm(world, 70640))
    assert (result.rules, result.complaints) == ((), ())


def lapses(*steps: tuple[list[api.Event], list[api.Action]]) -> list[str]:
    """The rules that a monitor reports as violated, for steps 100 ms apart."""
    said = list[str]()
    watch = InvariantMonitor(settings(), said.append)
    for at, (events, actions) in enumerate(steps):
        watch.step((1 + at) * SECOND // 10, events, actions)
    return [line.split(": ")[1] for line in said]


SPOTS = endpoint_update(entry("h", 1), entry("g", 2, listing=api.Listing.DRAINING))
FULL, RESET = api.Verdict.FULL, api.Verdict.RESET


def test_the_watch_speaks_of_each_rule_and_of_nothing_else() -> None:
    send = api.Send("m", "h", SECOND)
    asked: tuple[list[api.Event], list[api.Action]] = ([SPOTS, arrival("m")], [send])
    told = lapses(asked, ([attempt_outcome(send, FULL, retry_after_us=SECOND)], [send]))
    assert told == ["waits"]
    assert lapses(asked, ([attempt_outcome(send, FULL)], [send])) == []
    assert lapses(([SPOTS, arrival("m")], [api.Send("m", "g", SECOND)])) == ["drains"]
    assert lapses(([SPOTS, api.HostOverride("h", True), arrival("m")], [send])) == ["drains"]
    assert (
        lapses(([SPOTS, api.HostOverride("h", True), api.HostOverride("h", False), arrival("m")], [send]))
        == []
    )
    for cls, verdict, want in (
        (UNSAFE, RESET, ["twice"]), (UNSAFE, FULL, []), (SAFE, RESET, []), (KEYED, RESET, []),
    ):  # fmt: skip
        assert (
            lapses(([SPOTS, arrival("m", cls)], [send]), ([attempt_outcome(send, verdict)], [send])) == want
        )
    late: list[tuple[list[api.Event], list[api.Action]]] = [([], [])] * 50
    keyed: tuple[list[api.Event], list[api.Action]] = ([SPOTS, arrival("m", KEYED)], [send])
    assert lapses(keyed, ([attempt_outcome(send, RESET)], []), *late, ([], [send])) == ["twice"]
    line: list[api.Event] = [SPOTS, arrival("m", ORDERED, key="k"), arrival("n", ORDERED, key="k")]
    assert lapses((line, [send, api.Send("n", "h", SECOND)])) == ["order"]
    assert lapses((line, [send]), ([attempt_outcome(send)], [api.Send("n", "h", SECOND)])) == []
    assert lapses((line, [api.Send("n", "h", SECOND), api.Refuse("m")])) == []
    assert lapses(([SPOTS, arrival("m", time_left_us=0)], []), *late) == ["lost"]
    assert lapses(([SPOTS, arrival("m", time_left_us=0)], [api.Fail("m")]), *late) == []


def test_a_broken_module_is_not_told_of_without_end() -> None:
    sends: list[api.Action] = [api.Send(f"m{at}", "g", SECOND) for at in range(3 * MAX_REPORTS)]
    assert len(lapses(([SPOTS], sends))) == MAX_REPORTS
