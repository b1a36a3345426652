"""For how large a group a relay reckons its part of what all may take: paces, limits, cold budgets. No I/O.

A smaller view may never loosen what a relay takes: in a cut each side would take the other's part. So a part
shrinks at once by whoever joins, and grows only by a leave that was said, or by a death that a majority of
the last settled group holds for ``settle_us``. Whoever sees no majority goes on with its old part.

Bound of the sum of all parts: 1 undisturbed. In a cut one side at most has a majority of n; it comes to a
group of a > n/2, the others stay at n, so the sum is at most a/a + (n - a)/n < 3/2. Each further cut inside
the majority may add less than 1/2 in the same way. The group never goes below half of the largest that was
settled (less those who said that they leave), so with at most that many alive the sum stays within 2,
however often the fleet is cut.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field


@dataclass(slots=True)
class QuotaShares:
    """One relay's reckoning.

    ``settle_us``: how long a death is held by a majority before it counts. ``told``: the group that the
    settings name, which counts until so many have been seen: one that has just started knows nobody, and who
    was not seen yet may be there.
    """

    settle_us: int
    configured_size: int = 1
    configured_size_seen: bool = False
    counted_relays: set[str] = field(default_factory=set)  # relays that are reckoned with
    settled_group: set[str] = field(default_factory=set)  # the last group that was agreed on
    largest_settled: int = 1  # settled group so far, less the leaves that were said
    _majority_since_us: dict[str, int] = field(
        default_factory=dict
    )  # by death: since when a majority holds it

    @property
    def group_size(self) -> int:
        """The group for which parts are reckoned, at least 1."""
        return max(
            1,
            len(self.counted_relays),
            -(-self.largest_settled // 2),
            0 if self.configured_size_seen else self.configured_size,
        )

    def update(
        self, now_us: int, states: Mapping[str, str], count_agreeing: Callable[[Collection[str]], int]
    ) -> int:
        """Take the view in. ``agree`` tells how many of a group hold the same view as this relay, itself with
        them. Returns the size.
        """
        live = {relay for relay, state in states.items() if state in ("alive", "suspect")}
        for relay in [relay for relay in self.counted_relays if states.get(relay) == "left"]:
            self.counted_relays.discard(relay)
            self.largest_settled -= relay in self.settled_group
            self.settled_group.discard(relay)
        self.counted_relays |= live
        self.settled_group |= live
        self.largest_settled = max(self.largest_settled, len(self.settled_group))
        agreeing = count_agreeing(self.settled_group)
        self.configured_size_seen |= len(self.settled_group) >= self.configured_size
        missing = self.counted_relays - live
        self._majority_since_us = {
            relay: at for relay, at in self._majority_since_us.items() if relay in missing
        }
        if missing and 2 * agreeing > len(self.settled_group):
            for relay in missing:
                self._majority_since_us.setdefault(relay, now_us)
        else:
            self._majority_since_us.clear()
        released = {relay for relay, at in self._majority_since_us.items() if now_us - at >= self.settle_us}
        if released:
            self.counted_relays -= released
            self.settled_group -= released
            self._majority_since_us = {
                relay: at for relay, at in self._majority_since_us.items() if relay not in released
            }
        return self.group_size
