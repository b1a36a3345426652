"""Tests of the rig's logic without I/O: cold budgets, endpoint models, draws, scenarios, live view."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowlug.rig.judge import cold
from mallowlug.rig.judge import record as rec
from mallowlug.rig.report.live import LiveState
from mallowlug.rig.world import draw, replay, scenario
from mallowlug.rig.world.host_model import HostModel, Job, KeyMemory, Refusal, first_uses
from mallowlug.rig.world.scenario import EventTable, KindTable, Scenario
from mallowlug.toml_check import FileMistakesError
from tests.rig.story import SECOND, Story
from tests.world import ROOT

RETURN = cold.ColdReturn(10 * SECOND, 4.0, 0.25, 10 * SECOND)
KIND = KindTable(name="lots", share=1.0)


def model(**changed: Any) -> HostModel:
    """Return an endpoint with two servers, a queue of two and 10 messages per second."""
    plan = draw.HostPlan("h", 1, "a", KIND, 10.0, 10.0, 2, 2, 1.0, 0.0, 0.0, 0.25, 10.0)
    kind = KIND.model_copy(update=changed)
    return HostModel(replace(plan, kind=kind), random.Random(1))


def test_capacity_grows_evenly_from_cold_to_warm() -> None:
    shares = [RETURN.share(at * SECOND) for at in (9, 10, 15, 20, 30)]
    assert shares == [0.0, 0.25, pytest.approx(0.625), 1.0, 1.0]
    assert RETURN.work(10 * SECOND, 20 * SECOND) == pytest.approx(4 * 10 * 0.625)
    assert RETURN.work(18 * SECOND, 22 * SECOND) == pytest.approx(4 * (2 * 0.925 + 2))


@given(st.integers(0, 30), st.integers(0, 30), st.integers(0, 30))
def test_work_adds_up(a: int, b: int, c: int) -> None:
    first, second, third = (10 * SECOND + at * SECOND for at in sorted((a, b, c)))
    whole = RETURN.work(first, third)
    assert whole == pytest.approx(RETURN.work(first, second) + RETURN.work(second, third))


@given(st.floats(0.1, 0.99), st.integers(0, 999))
def test_load_below_the_current_capacity_never_exceeds_the_budget(share: float, phase: int) -> None:
    arrivals, at, level = list[tuple[int, float]](), RETURN.at_us + phase * 1000, 0.0
    while at < RETURN.at_us + RETURN.warm_us:
        at += 10_000
        level += share * 1.5 * RETURN.share(at) * RETURN.per_s / 100
        if level >= 1:
            arrivals.append((at, 1.0))
            level -= 1
    assert cold.first_overload(RETURN, arrivals, 1.5, 3 * SECOND) is None


def test_a_burst_exceeds_the_budget_early_but_not_later() -> None:
    most = int(RETURN.budget(RETURN.at_us, 1.5, 3 * SECOND))
    burst = [(RETURN.at_us + n * 1000, 1.0) for n in range(most + 1)]
    assert cold.first_overload(RETURN, burst[:most], 1.5, 3 * SECOND) is None
    found = cold.first_overload(RETURN, burst, 1.5, 3 * SECOND)
    assert found is not None
    assert found[0] == RETURN.at_us
    assert cold.first_overload(RETURN, [(at + 10 * SECOND, n) for at, n in burst], 1.5, 3 * SECOND) is None


def test_the_window_maximum_includes_a_margin_for_chance() -> None:
    assert cold.max_in_window(16) == 16 + 3 * 4 + 3
    assert cold.max_in_window(36) == 36 + 2 * 6 + 2


def test_an_endpoint_serves_queues_and_refuses() -> None:
    host = model()
    offered = [host.offer(Job(number, 1, 0.2), 0.0) for number in range(5)]
    assert offered == [0.2, 0.2, None, None, Refusal(0.0)]
    following = host.finish_job(0.2)
    assert following is not None
    assert (following[0].call, following[1]) == (2, 0.2)
    assert host.finish_job(0.4) is not None
    assert host.finish_job(0.4) is None
    assert host.running == 1


@given(st.lists(st.floats(0.001, 0.5), min_size=1, max_size=60), st.floats(1.0, 20.0))
def test_a_limit_lets_through_its_rate_and_one_burst(gaps: list[float], rate: float) -> None:
    host, now, passed = model(limited=True, tells_wait=1.0), 0.0, 0
    host.plan = replace(host.plan, per_s=rate, servers=1000)
    for number, gap in enumerate(gaps):
        now += gap
        passed += isinstance(host.offer(Job(number, 1, 0.01), now), float)
    assert passed <= 1 + max(1.0, rate / 2) + rate * now


@given(st.floats(1.0, 20.0))
def test_a_call_after_the_stated_wait_is_accepted(rate: float) -> None:
    host = model(limited=True, tells_wait=1.0, refused_count=False)
    host.plan = replace(host.plan, per_s=rate)
    while not isinstance(refusal := host.offer(Job(1, 1, 0.0), 0.0), Refusal):
        host.finish_job(0.0)
    assert refusal.wait_s > 0
    assert not isinstance(host.offer(Job(2, 1, 0.0), refusal.wait_s + 1e-6), Refusal)


def test_cold_and_slow_take_longer() -> None:
    host = model()
    assert host.service_time_s(Job(1, 1, 0.1), 100.0) == pytest.approx(0.1)
    host.slowdown = 8.0
    assert host.service_time_s(Job(1, 1, 0.1), 100.0) == pytest.approx(0.8)
    host.end_outage(100.0, work_lost=True)
    assert host.service_time_s(Job(1, 1, 0.1), 100.0) == pytest.approx(0.4)
    assert host.service_time_s(Job(1, 1, 0.1), 111.0) == pytest.approx(0.1)


def test_keys_are_remembered_for_their_window() -> None:
    memory = KeyMemory()
    keys = [("k", 25.0), ("", 0.0), ("k", 25.0), ("l", 25.0)]
    assert first_uses(memory, keys, 0.0) == [True, True, False, True]
    assert first_uses(memory, [("k", 25.0)], 24.9) == [False]
    assert first_uses(memory, [("k", 25.0)], 25.1) == [True]


def test_every_shipped_scenario_is_valid() -> None:
    paths = sorted((ROOT / "scenarios").glob("*.toml"))
    assert {path.stem for path in paths} >= {"calm", "rush", "churn", "rough", "reload", "links", "demo"}
    for path in paths:
        assert scenario.load(path).name == path.stem


WRONG = """\
name = "wrong"
seed = -1
length_s = 10.0

[load]
rate_per_s = "many"
colour = 1

[partners]
endpoints = [3, 1]

[[event]]
at_s = 1.0
what = "explode"
"""


def test_every_mistake_in_a_scenario_is_reported_with_its_line(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(WRONG, encoding="utf-8")
    with pytest.raises(FileMistakesError) as caught:
        scenario.load(path)
    assert [(m.line, m.key) for m in caught.value.mistakes] == [
        (2, "seed"),
        (6, "load.rate_per_s"),
        (7, "load.colour"),
        (10, "partners.endpoints"),
        (14, "event.0.what"),
    ]


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        ({"at_s": 10.0, "what": "kill"}, "event.0.at_s"),
        ({"at_s": 1.0, "what": "kill", "relay": 2}, "event.0.relay"),
        ({"at_s": 1.0, "what": "refuse", "dest": 10}, "event.0.dest"),
        ({"at_s": 1.0, "what": "heavy_tail", "cls": "none"}, "event.0.cls"),
    ],
)
def test_an_event_with_an_unknown_reference_is_a_mistake(event: dict[str, Any], reason: str) -> None:
    with pytest.raises(ValueError, match=reason):
        drawn(event=[event])


def drawn(seed: int = 1, **changed: Any) -> Scenario:
    """Return a scenario of ten seconds."""
    known = {"name": "s", "seed": seed, "length_s": 10.0, "load": {"rate_per_s": 100.0}}
    return Scenario.model_validate(known | changed)


@given(st.integers(0, 1000))
def test_a_seed_always_draws_the_same_environment(seed: int) -> None:
    assert draw.draw_hosts(drawn(seed)) == draw.draw_hosts(drawn(seed))
    assert draw.draw_arrivals(drawn(seed)) == draw.draw_arrivals(drawn(seed))


def test_traffic_has_the_configured_rate_and_shares() -> None:
    arrivals = [arrival for seed in range(20) for arrival in draw.draw_arrivals(drawn(seed))]
    assert all(a.at_s <= b.at_s for a, b in pairwise(draw.draw_arrivals(drawn(1))))
    assert len(arrivals) == pytest.approx(20_000, rel=0.05)
    classes = Counter(arrival.cls for arrival in arrivals)
    assert classes["payment-postings"] / len(arrivals) == pytest.approx(0.69, abs=0.02)


@given(st.integers(0, 200), st.floats(0.05, 0.6))
def test_an_outage_affects_one_zone_with_at_most_its_share(seed: int, part: float) -> None:
    world = drawn(seed)
    hosts = draw.draw_hosts(world)
    event = EventTable(at_s=1.0, what="refuse", part=part)
    names = draw.draw_affected_hosts(world, hosts, event, random.Random(seed))
    dests = {plan.dest for plan in hosts if plan.name in names}
    weights = draw.destination_weights(world)
    assert names
    assert len(dests) == 1 or sum(weights[dest] for dest in dests) <= part + 1e-9


def test_replayed_traffic_is_only_the_first_submissions() -> None:
    story = Story().ask(100, "a", said="refused").ask(600, "b", first="a").ask(900, "c", "keyed", dest=2)
    story.add(rec.MessageSubmitted(901_000, "c", "n0", 2, "keyed", "m", SECOND))  # resent on a new connection
    traffic = replay.arrivals_from(story.record())
    assert [(a.at_s, a.dest, a.cls) for a in traffic] == [(0.0, 1, "safe"), (pytest.approx(0.8), 2, "keyed")]


def test_reduced_traffic_replays_like_its_record(tmp_path: Path) -> None:
    story = Story().ask(100, "a", said="refused").ask(600, "b", first="a").ask(900, "c", "keyed", dest=2)
    rec.save(replay.traffic_only(story.record()), tmp_path / "traffic")
    kept = rec.read(tmp_path / "traffic")
    assert kept.whole
    assert replay.arrivals_from(kept) == replay.arrivals_from(story.record())
    assert {type(event) for event in kept.events} == {rec.MessageSubmitted, rec.RecordEnd}


def test_the_shipped_rush_hour_can_be_replayed() -> None:
    record = rec.read(ROOT / "scenarios" / "rush-hour.jsonl")
    assert record.whole
    world, traffic = replay.scenario_from(record), replay.arrivals_from(record)
    assert world.name == "rush"
    assert len(traffic) > 4000
    assert len(traffic) / traffic[-1].at_s == pytest.approx(world.load.rate_per_s, rel=0.1)


def test_a_record_without_a_scenario_cannot_be_replayed() -> None:
    with pytest.raises(rec.RecordError, match="the head holds no scenario"):
        replay.scenario_from(Story().record())


def test_a_scenario_survives_its_record() -> None:
    world = drawn(event=[{"at_s": 1.0, "what": "kill"}])
    story = Story()
    story.head = draw.record_head(world)
    assert replay.scenario_from(story.record()) == world


def test_the_live_view_counts_open_messages() -> None:
    live = LiveState()
    story = Story().ask(0, "a").ask(0, "b").ask(0, "c", said="refused")
    story.call(10, "a").call(10, "b", end="open").notice(100, "b")
    for event in story.record().events:
        live.apply(event)
    assert live.open_messages == {"n0": 0}
    assert (live.counts["asked"], live.counts["taken"], live.counts["refused"]) == (3, 2, 1)
    assert live.calls_in_flight["a1"] == 1
    assert live.relays == {"n0": "ready"}
