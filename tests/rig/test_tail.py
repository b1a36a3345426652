"""Latency of a record: slow and missing deliveries, and the messages that calls carried."""

from __future__ import annotations

import math
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench import tails
from mallowlug.cli.main import main
from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.tail import latency_of, quantile
from mallowlug.rig.world import scenario
from mallowlug.rig.world.draw import draw_hosts
from tests.rig.story import Story
from tests.world import ROOT


def test_delivery_counts_from_the_first_submission_and_undelivered_messages_are_the_tail() -> None:
    story = Story().ask(0, "a").call(10, "a", took=40).ask(0, "b").notice(900, "b")
    story.ask(100, "c", said="refused").ask(600, "d", first="c").call(700, "d", took=100)
    found = latency_of(story.record())
    assert found.deliver_ms == (700.0, math.inf, math.inf)
    assert (found.messages, found.delivered, found.calls, found.carried) == (3, 2, 2, 2)
    assert found.accept_ms == (1.0, 1.0, 1.0)


def test_a_batch_is_one_call_and_connections_are_counted_once() -> None:
    story = Story().ask(0, "a").ask(0, "b").ask(0, "c").call(10, "a", "b").call(200, "c")
    found = latency_of(story.record())
    assert (found.calls, found.carried, found.connections) == (2, 3, 1)


def test_a_record_without_traffic_has_no_quantiles() -> None:
    found = latency_of(Story().record())
    assert (found.accept_ms, found.deliver_ms, found.messages) == ((), (), 0)


@given(st.lists(st.floats(0, 1e6), min_size=1, max_size=60), st.floats(0.001, 1))
def test_a_quantile_is_the_smallest_value_that_covers_its_share(values: list[float], share: float) -> None:
    found = quantile(values, share)
    assert sum(value <= found for value in values) >= share * len(values)
    assert sum(value < found for value in values) < share * len(values)


@pytest.mark.parametrize(("values", "share"), [([], 0.5), ([1.0], 0.0), ([1.0], 1.1)])
def test_a_quantile_without_values_or_of_an_invalid_share_is_rejected(
    values: list[float], share: float
) -> None:
    with pytest.raises(ValueError, match="quantile"):
        quantile(values, share)


def test_the_command_prints_a_line_for_each_record(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "record.jsonl"
    rec.save(Story().ask(0, "a").call(10, "a", took=40).record(), path)
    assert main(["rig", "tail", str(path), str(path)]) == 0
    line = f"{path}: accept 1 1 1; delivery 50 50 50; 1 of 1 delivered, 1 in 1 calls, 1 connections"
    assert capsys.readouterr().out.splitlines() == [line, line]


def test_a_variant_keeps_partners_and_changes_load_batches_and_service_alone() -> None:
    world = scenario.load(ROOT / "scenarios" / "tails.toml")
    more = tails.variant(world, False, 1.3, "heavy tail")
    assert (more.load.rate_per_s, {kind.batch for kind in more.kinds}) == (64.0 * 1.3, {1})
    assert {event.cls for event in more.events} == {cls.name for cls in world.classes}
    assert [host.per_s for host in draw_hosts(more)] == pytest.approx(
        [host.per_s for host in draw_hosts(world)]
    )
    assert tails.variant(world, True, 1.0, "as drawn") == world


def test_a_short_run_of_slow_partners_is_judged_and_measured() -> None:
    world = scenario.load(ROOT / "scenarios" / "tails.toml").model_copy(update={"length_s": 3.0})
    found = tails.play(tails.variant(world, True, 1.0, "one in a hundred stalls"))
    assert found.kept and found.tail.messages > 100 and found.tail.calls <= found.tail.carried
    p50, p99, most = found.tail.deliver_ms
    assert 50 < p50 <= p99 <= most
