"""Seeded faults of the slow start: the model must detect each of them at every size where it does harm."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from mossfront import DecisionEngine
from mossfront.interface import OutageRecord, OutageRecordKind
from mossfront.slow_start import Budget, Phase, PhaseChange, SlowStart
from mossfront.state import Endpoint
from tests.slow_start.outages import Failure, OutageDraw, Restart, draw_hard_outage, simulate
from tests.support import SECOND

Patch = Callable[[pytest.MonkeyPatch], None]
DRAWS = 16
SIZES = (9, 20, 50, 230)
MIN_HARM_FACTOR = 1.15  # lower bound of the factor by which a fault raises the sum of the worst ratios


def no_credit(monkey: pytest.MonkeyPatch) -> None:
    """Calls to a cold endpoint need no credit."""
    monkey.setattr(SlowStart, "next_call_us", lambda *_: 0)


def whole_budget_for_each(monkey: pytest.MonkeyPatch) -> None:
    """Every message earns many calls, as if no other relay sent any."""
    monkey.setattr(Budget, "credit_per_message", lambda *_: 8.0)


def ignore_two_failures(monkey: pytest.MonkeyPatch) -> None:
    """As in the faulty release: one or two failures in a row are ignored, also after a restart."""
    failed, succeeded = SlowStart.on_failure, SlowStart.on_success
    failures_in_row = dict[int, int]()

    def on_third_failure(slow: SlowStart, *args: Any, **kwargs: Any) -> PhaseChange | None:
        failures_in_row[id(slow)] = failures_in_row.get(id(slow), 0) + 1
        return failed(slow, *args, **kwargs) if failures_in_row[id(slow)] > 2 else None

    def on_success(slow: SlowStart, *args: Any) -> PhaseChange | None:
        failures_in_row[id(slow)] = 0
        return succeeded(slow, *args)

    def ignore_suspicions(relay: DecisionEngine, endpoint: Endpoint, record: OutageRecord) -> None:
        if record.kind is not OutageRecordKind.SUSPICION:
            apply_record(relay, endpoint, record)

    apply_record = DecisionEngine._restore_outage_record
    monkey.setattr(SlowStart, "on_failure", on_third_failure)
    monkey.setattr(SlowStart, "on_success", on_success)
    monkey.setattr(DecisionEngine, "_restore_outage_record", ignore_suspicions)


def weight_not_charged(monkey: pytest.MonkeyPatch) -> None:
    """A batch is charged as one message."""
    spend = SlowStart.spend

    def spend_once(slow: SlowStart, now_us: int, budget: Budget, weight: float, first: bool) -> None:
        if first:
            spend(slow, now_us, budget, weight, first)

    monkey.setattr(SlowStart, "spend", spend_once)
    monkey.setattr(SlowStart, "max_call_weight", lambda *_: 10.0)


def restart_without_outage_records(monkey: pytest.MonkeyPatch) -> None:
    """A relay does not know after a restart what it observed before."""
    monkey.setattr(DecisionEngine, "_restore_outage_record", lambda *_: None)


def under_full_load(draw: OutageDraw) -> OutageDraw:
    """Put a full load on one endpoint, so that many messages are held when it returns."""
    return replace(draw, load=1.2, endpoints=1, failure=Failure.REFUSED, restart=None, error_share=0.0)


def in_batches(draw: OutageDraw) -> OutageDraw:
    """Send bursts to an endpoint of low rate that takes ten messages per call."""
    return replace(under_full_load(draw), kind="bank", burst_size=8, capacity_per_s=3.0)


def with_restarts(draw: OutageDraw) -> OutageDraw:
    """Restart most of the group as the endpoint returns; it recovers the messages it held."""
    return replace(
        under_full_load(draw), failure=Failure.TIMEOUT, kind="lot", burst_size=1, restart=Restart(0.8, 0.3)
    )


def total_worst_ratio(relays: int, shaped: Callable[[OutageDraw], OutageDraw]) -> float:
    """Return the sum of the worst ratios of some draws."""
    return sum(simulate(shaped(draw_hard_outage(seed, relays))).worst_ratio for seed in range(DRAWS))


@pytest.mark.parametrize(
    ("patch", "shaped", "relays"),
    [
        *((no_credit, under_full_load, size) for size in SIZES),
        *((whole_budget_for_each, under_full_load, size) for size in SIZES),
        *((weight_not_charged, in_batches, size) for size in SIZES),
        *((ignore_two_failures, with_restarts, size) for size in (9, 20, 50)),
        *(
            (restart_without_outage_records, with_restarts, size) for size in (9, 20, 50)
        ),  # in larger groups, few are notified
    ],
)
def test_seeded_fault_is_detected(
    patch: Patch, shaped: Callable[[OutageDraw], OutageDraw], relays: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = total_worst_ratio(relays, shaped)
    patch(monkeypatch)
    assert total_worst_ratio(relays, shaped) > MIN_HARM_FACTOR * before


def call_time_spread_s(initial_credits: list[float]) -> float:
    """Return the time from the first to the last call of relays that were restarted together."""
    budget = Budget(len(initial_credits), 1.5, 3 * SECOND, 0.27, 13 * SECOND)
    times = list[int]()
    for drawn in initial_credits:
        slow = SlowStart()
        slow.restore(0, budget, drawn, Phase.DOWN)
        times.append(slow.next_call_us(0, budget))
    return (max(times) - min(times)) / SECOND


def test_equal_initial_credit_would_synchronize_relays() -> None:
    """With one random draw for all, restarted relays would call at the same time.

    Independent draws spread the calls over one collapse window per relay.
    """
    assert call_time_spread_s([number / 50 for number in range(50)]) > 140
    assert call_time_spread_s([0.5] * 50) == 0
