"""Group size from which a relay derives its share of send rates, limits and cold budgets. No I/O.

A smaller view must not by itself enlarge a relay's share: in a partition each side would take the other's.
So a share shrinks at once when a relay joins, and grows only after an announced leave, or a death that a
majority of the last settled group holds for ``settle_us``. A relay without a majority keeps its share.

Bound on the sum of all shares: 1 if undisturbed. In a partition at most one side has a majority of n; it
shrinks to a group of a > n/2, the others stay at n, so the sum is at most a/a + (n - a)/n < 3/2. Each further
partition inside the majority may add less than 1/2 in the same way. The group never goes below half of the
largest settled one (less announced leaves), so with at most that many relays alive the sum stays within 2,
however often the fleet is partitioned.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field


@dataclass(slots=True)
class QuotaShares:
    """Group size of one relay.

    ``settle_us``: how long a majority must hold a death before it counts. ``configured_size``: the group size
    of the settings, a lower bound until that many relays have been seen, since a relay that has just started
    knows no other, and relays not yet seen may be alive.
    """

    settle_us: int
    configured_size: int = 1
    configured_size_seen: bool = False
    counted_relays: set[str] = field(default_factory=set)  # relays included in the group size
    settled_group: set[str] = field(default_factory=set)  # the last group that was agreed on, for majorities
    largest_settled: int = 1  # size of the largest settled group, less announced leaves
    _majority_since_us: dict[str, int] = field(default_factory=dict)  # by dead relay: start of the majority

    @property
    def group_size(self) -> int:
        """The group size for quota shares, at least 1."""
        return max(
            1,
            len(self.counted_relays),
            -(-self.largest_settled // 2),
            0 if self.configured_size_seen else self.configured_size,
        )

    def update(
        self, now_us: int, states: Mapping[str, str], count_agreeing: Callable[[Collection[str]], int]
    ) -> int:
        """Apply the states of the view and return the group size.

        ``count_agreeing`` returns how many of a group hold the same view as this relay, itself included.
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
