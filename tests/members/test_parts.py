"""Parts: what all relays take together has a bound in every cut."""

from __future__ import annotations

from collections.abc import Collection

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowlug.fleet.quota_shares import Parts

SETTLE = 10


class World:
    """Relays that hear those on their own side, and hold the others dead."""

    def __init__(self, size: int) -> None:
        self.parts = {at: Parts(SETTLE, told=size) for at in range(size)}
        self.side = dict.fromkeys(range(size), 0)
        self.left: set[int] = set()
        self.now = 0

    def step(self, wait: int = 2 * SETTLE) -> None:
        """Let every relay settle on what it hears, twice: once to see, once behind the wait."""
        for _ in range(2):
            for own, parts in self.parts.items():
                if own in self.left:
                    continue
                heard = {at for at in self.parts if self.side[at] == self.side[own]} - self.left
                states = {str(at): "alive" if at in heard else "dead" for at in self.parts}
                states |= dict.fromkeys(map(str, self.left), "left")

                def agree(group: Collection[str], heard: set[int] = heard) -> int:
                    return sum(int(at) in heard for at in group)

                parts.update(self.now, states, agree)
            self.now += wait

    @property
    def total(self) -> float:
        """What all that live take."""
        return sum(1 / parts.size for at, parts in self.parts.items() if at not in self.left)


@pytest.mark.parametrize("size", [2, 3, 5, 8, 24])
def test_undisturbed_the_parts_are_one_whole(size: int) -> None:
    world = World(size)
    world.step()
    assert world.total == pytest.approx(1.0)


@settings(max_examples=200)
@given(st.integers(2, 16), st.lists(st.lists(st.integers(0, 2), min_size=16, max_size=16), max_size=5))
def test_the_sum_of_all_parts_has_its_bound_in_every_cut(size: int, cuts: list[list[int]]) -> None:
    """1 and half a part for each cut, and never more than 2."""
    world = World(size)
    world.step()
    for number, cut in enumerate(cuts, 1):
        world.side = {at: world.side[at] * 3 + cut[at] for at in world.side}  # a cut within the sides
        world.step()
        assert world.total < 1 + number / 2 and world.total <= 2 + 1e-9


def test_a_death_counts_only_behind_its_time_and_a_leave_at_once() -> None:
    world = World(5)
    world.step()
    world.side[4] = 1
    world.step(wait=1)
    assert world.parts[0].size == 5
    world.step()
    assert world.parts[0].size == 4 and world.parts[4].size == 5
    world.side[4] = 0
    world.step()
    assert world.parts[0].size == 5  # at once, as it is back
    world.left.add(3)
    world.step(wait=1)
    assert world.parts[0].size == 4


def test_one_that_has_met_nobody_takes_what_the_settings_tell() -> None:
    parts = Parts(SETTLE, told=40)
    assert parts.update(0, {"a": "alive"}, lambda _group: 1) == 40
    some = {f"r{at}": "alive" for at in range(39)}
    assert parts.update(100, some, lambda _group: 39) == 40  # the last one may be there too
    assert parts.update(200, some | {"last": "alive", "more": "alive"}, lambda _group: 41) == 41


def test_parts_that_grow_in_a_cut_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """The plant: each goes by whom it hears."""

    def by_ear(self: Parts, _now: int, states: dict[str, str], _agree: object) -> int:
        self.counted = {relay for relay, state in states.items() if state == "alive"}
        self.largest, self.met = 1, True
        return self.size

    monkeypatch.setattr(Parts, "update", by_ear)
    with pytest.raises(AssertionError):
        test_the_sum_of_all_parts_has_its_bound_in_every_cut()
