"""Quota shares: the sum over all relays is bounded in every partition."""

from __future__ import annotations

from collections.abc import Collection

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowlug.fleet.quota_shares import QuotaShares

SETTLE_US = 10


class SimulatedFleet:
    """Relays that hear only those on their side of a partition and hold the others dead."""

    def __init__(self, size: int) -> None:
        self.shares = {at: QuotaShares(SETTLE_US, configured_size=size) for at in range(size)}
        self.side = dict.fromkeys(range(size), 0)
        self.left: set[int] = set()
        self.now_us = 0

    def step(self, wait_us: int = 2 * SETTLE_US) -> None:
        """Update every relay twice: once to see the change, once after the wait."""
        for _ in range(2):
            for own, share in self.shares.items():
                if own in self.left:
                    continue
                heard = {at for at in self.shares if self.side[at] == self.side[own]} - self.left
                states = {str(at): "alive" if at in heard else "dead" for at in self.shares}
                states |= dict.fromkeys(map(str, self.left), "left")

                def count_agreeing(group: Collection[str], heard: set[int] = heard) -> int:
                    return sum(int(at) in heard for at in group)

                share.update(self.now_us, states, count_agreeing)
            self.now_us += wait_us

    @property
    def total_share(self) -> float:
        """Sum of the shares of all relays that have not left."""
        return sum(1 / share.group_size for at, share in self.shares.items() if at not in self.left)


@pytest.mark.parametrize("size", [2, 3, 5, 8, 24])
def test_shares_of_an_undisturbed_fleet_sum_to_one(size: int) -> None:
    world = SimulatedFleet(size)
    world.step()
    assert world.total_share == pytest.approx(1.0)


@settings(max_examples=200)
@given(st.integers(2, 16), st.lists(st.lists(st.integers(0, 2), min_size=16, max_size=16), max_size=5))
def test_sum_of_shares_is_bounded_in_every_partition(size: int, cuts: list[list[int]]) -> None:
    """Less than 1 plus 1/2 for each partition, and never more than 2."""
    world = SimulatedFleet(size)
    world.step()
    for number, cut in enumerate(cuts, 1):
        world.side = {at: world.side[at] * 3 + cut[at] for at in world.side}  # partition within each side
        world.step()
        assert world.total_share < 1 + number / 2 and world.total_share <= 2 + 1e-9


def test_death_counts_after_settle_time_and_leave_at_once() -> None:
    world = SimulatedFleet(5)
    world.step()
    world.side[4] = 1
    world.step(wait_us=1)
    assert world.shares[0].group_size == 5
    world.step()
    assert world.shares[0].group_size == 4 and world.shares[4].group_size == 5
    world.side[4] = 0
    world.step()
    assert world.shares[0].group_size == 5  # a returned relay counts at once
    world.left.add(3)
    world.step(wait_us=1)
    assert world.shares[0].group_size == 4


def test_configured_size_applies_until_that_many_relays_were_seen() -> None:
    share = QuotaShares(SETTLE_US, configured_size=40)
    assert share.update(0, {"a": "alive"}, lambda _group: 1) == 40
    some = {f"r{at}": "alive" for at in range(39)}
    assert share.update(100, some, lambda _group: 39) == 40  # the last configured relay may be alive too
    assert share.update(200, some | {"last": "alive", "more": "alive"}, lambda _group: 41) == 41


def test_seeded_fault_of_shares_that_grow_in_a_partition_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seeded fault: each relay counts only the relays that it hears."""

    def by_ear(self: QuotaShares, _now: int, states: dict[str, str], _agree: object) -> int:
        self.counted_relays = {relay for relay, state in states.items() if state == "alive"}
        self.largest_settled, self.configured_size_seen = 1, True
        return self.group_size

    monkeypatch.setattr(QuotaShares, "update", by_ear)
    with pytest.raises(AssertionError):
        test_sum_of_shares_is_bounded_in_every_partition()
