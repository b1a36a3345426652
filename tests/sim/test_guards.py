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
from tests.sim.worlds import Patch, seeded_fault
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


def change_events(change: Callable[[Any], Any]) -> Patch:
    """Change each event that the engine receives; events changed to None are dropped."""

    def patch(monkey: pytest.MonkeyPatch) -> None:
        real = engine.DecisionEngine.step

        def step(self: engine.DecisionEngine, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
            return real(self, now_us, [changed for event in events if (changed := change(event)) is not None])

        monkey.setattr(engine.DecisionEngine, "step", step)

    return patch


def without_waits(event: Any) -> Any:
    """Remove the Retry-After wait of an outcome."""
    return replace(event, retry_after_us=0) if isinstance(event, api.Outcome) else event


def without_drains(event: Any) -> Any:
    """List draining endpoints as ready."""
    if not isinstance(event, api.EndpointUpdate):
        return event
    ready = api.Listing.READY
    entries = (replace(e, listing=ready) if e.listing is api.Listing.DRAINING else e for e in event.entries)
    return replace(event, entries=tuple(entries))


def without_overrides(event: Any) -> Any:
    """Drop the overrides of hosts by operators."""
    return None if isinstance(event, api.HostOverride) else event


def key_order_ignored(monkey: pytest.MonkeyPatch) -> None:
    """The order of messages with the same key is ignored."""
    monkey.setattr(engine.DecisionEngine, "_allowed_by_key_order", lambda self, message: True)


def expiry_skipped(monkey: pytest.MonkeyPatch) -> None:
    """Held messages do not expire."""
    monkey.setattr(engine.DecisionEngine, "_expire_held", lambda self: None)


def failed_attempts_never_ran(monkey: pytest.MonkeyPatch) -> None:
    """Every failed attempt is treated as if it never ran."""
    monkey.setattr(api.Verdict, "never_ran", property(lambda self: True))


def adapter_ignores_waits(monkey: pytest.MonkeyPatch) -> None:
    """The adapter writes what was decided, even if a wait was announced since."""
    monkey.setattr(http_calls.HttpPartners, "wait_left_us", lambda self, host: 0)


def adapter_ignores_listing(monkey: pytest.MonkeyPatch) -> None:
    """The adapter writes what was decided, even if the host was drained or disabled since."""
    monkey.setattr(http_calls.HttpPartners, "_may_call", lambda self, host: host in self._listed)


ENGINE_FAULTS: dict[str, tuple[Patch, scenario.Scenario, int, str]] = {
    "waits": (change_events(without_waits), SWARM, 1, "waits"),
    "drains": (change_events(without_drains), SWARM, 7, "drains"),
    "drains by hand": (change_events(without_overrides), STAFF, 1, "drains"),
    "order": (key_order_ignored, SWARM, 1, "order"),
    "twice": (failed_attempts_never_ran, SWARM, 2, "twice"),
    "lost": (expiry_skipped, SWARM, 1, "lost"),
}
KEPT_BY_THE_ADAPTER = ("waits", "drains", "drains by hand")


@pytest.mark.parametrize("name", ENGINE_FAULTS)
def test_a_disabled_engine_guard_is_detected_although_the_adapter_keeps_the_rule(name: str) -> None:
    patch, case, seed, rule = ENGINE_FAULTS[name]
    assert run_scenario(swarm(case, seed)).complaints == ()
    with seeded_fault(patch):
        result = run_scenario(swarm(case, seed))
    assert any(line.startswith(f"guard: {rule}: ") for line in result.complaints)
    if name in KEPT_BY_THE_ADAPTER:  # the judge alone finds nothing wrong
        assert result.rules == ()


def slow_links(latency_ms: float, **changes: Any) -> scenario.Scenario:
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
    changes_made = {"seed": 1, "net": net, "kinds": tuple(kinds), "clients": clients} | changes
    return SWARM.model_copy(update=changes_made)


def draining() -> scenario.Scenario:
    """Endpoints drain all the time, on links slower than any limit of the rules allows for."""
    events = [{"at_s": 2.0 + at, "what": "drain", "count": 2, "len_s": 1.0} for at in range(10)]
    return slow_links(200, seed=2, events=tuple(map(scenario.EventTable.model_validate, events)))


@pytest.mark.parametrize(
    ("patch", "case", "rule"),
    [(adapter_ignores_waits, lambda: slow_links(45), "waits"), (adapter_ignores_listing, draining, "drains")],
)
def test_a_disabled_adapter_guard_is_detected_although_the_engine_has_its_own(
    patch: Patch, case: Callable[[], scenario.Scenario], rule: str
) -> None:
    before = run_scenario(case())
    with seeded_fault(patch):
        result = run_scenario(case())
    assert rule not in before.rules and rule in result.rules
    assert not any(line.startswith("guard: ") for line in (*before.complaints, *result.complaints))


def test_handed_over_messages_are_kept_if_their_endpoints_are_listed_later() -> None:
    """An upgrade's new process is killed at once; the old one had waits but no endpoint list (70640)."""
    case = scenario.load(ROOT / "scenarios" / "upgrade.toml")
    result = run_scenario(swarm(case, 70640))
    assert (result.rules, result.complaints) == ((), ())


def violations(*steps: tuple[list[api.Event], list[api.Action]]) -> list[str]:
    """The rules that a monitor reports as violated, for steps 100 ms apart."""
    reports = list[str]()
    watch = InvariantMonitor(settings(), reports.append)
    for at, (events, actions) in enumerate(steps):
        watch.step((1 + at) * SECOND // 10, events, actions)
    return [line.split(": ")[1] for line in reports]


SPOTS = endpoint_update(entry("h", 1), entry("g", 2, listing=api.Listing.DRAINING))
FULL, RESET = api.Verdict.FULL, api.Verdict.RESET


def test_the_monitor_reports_each_rule_and_nothing_else() -> None:
    send = api.Send("m", "h", SECOND)
    asked: tuple[list[api.Event], list[api.Action]] = ([SPOTS, arrival("m")], [send])
    reported = violations(asked, ([attempt_outcome(send, FULL, retry_after_us=SECOND)], [send]))
    assert reported == ["waits"]
    assert violations(asked, ([attempt_outcome(send, FULL)], [send])) == []
    assert violations(([SPOTS, arrival("m")], [api.Send("m", "g", SECOND)])) == ["drains"]
    assert violations(([SPOTS, api.HostOverride("h", True), arrival("m")], [send])) == ["drains"]
    assert (
        violations(([SPOTS, api.HostOverride("h", True), api.HostOverride("h", False), arrival("m")], [send]))
        == []
    )
    for cls, verdict, want in (
        (UNSAFE, RESET, ["twice"]), (UNSAFE, FULL, []), (SAFE, RESET, []), (KEYED, RESET, []),
    ):  # fmt: skip
        assert (
            violations(([SPOTS, arrival("m", cls)], [send]), ([attempt_outcome(send, verdict)], [send]))
            == want
        )
    late: list[tuple[list[api.Event], list[api.Action]]] = [([], [])] * 50
    keyed: tuple[list[api.Event], list[api.Action]] = ([SPOTS, arrival("m", KEYED)], [send])
    assert violations(keyed, ([attempt_outcome(send, RESET)], []), *late, ([], [send])) == ["twice"]
    line: list[api.Event] = [SPOTS, arrival("m", ORDERED, key="k"), arrival("n", ORDERED, key="k")]
    assert violations((line, [send, api.Send("n", "h", SECOND)])) == ["order"]
    assert violations((line, [send]), ([attempt_outcome(send)], [api.Send("n", "h", SECOND)])) == []
    assert violations((line, [api.Send("n", "h", SECOND), api.Refuse("m")])) == []
    assert violations(([SPOTS, arrival("m", time_left_us=0)], []), *late) == ["lost"]
    assert violations(([SPOTS, arrival("m", time_left_us=0)], [api.Fail("m")]), *late) == []


def test_reports_about_a_broken_engine_are_limited() -> None:
    sends: list[api.Action] = [api.Send(f"m{at}", "g", SECOND) for at in range(3 * MAX_REPORTS)]
    assert len(violations(([SPOTS], sends))) == MAX_REPORTS
