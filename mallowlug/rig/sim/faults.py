"""Random fault plans: swarm testing over all faults that a scenario can name. No I/O.

After Groce et al., "Swarm Testing" (ISSTA 2012): every seed enables a random subset of the fault kinds, each
at its own rate, so that one kind does not mask another. The result is an ordinary scenario, which can be
written down, replayed and minimized.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from mallowlug.rig.world.repeats import draw_repeats
from mallowlug.rig.world.scenario import SYNC_CALLS, SYSTEM_CALLS, EventTable, NetTable, Scenario, StrikeTable

Row = dict[str, Any]
KIND_PROBABILITY = 0.35  # probability that a kind of fault is enabled
MAX_LIFETIMES = 4  # process lifetimes of a relay in which calls are killed
# Approximate number of each call per process lifetime, so that injected faults are reached. All other calls
# are frequent.
RARE_CALLS = {
    "open": 3, "truncate": 2, "replace": 2, "unlink": 2, "read": 3, "write.journal.new": 2, "sync_folder": 3,
    "send.watch": 4, "send.notice": 8, "write.end": 12,
}  # fmt: skip


class FaultPlan:
    """The faults drawn by one seed for one scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed, self.rng = scenario, seed, random.Random(f"faults {seed}")
        self.events: list[Row] = []
        self.strikes: list[Row] = []
        self.net: Row = {}
        self.relays: Row = {}  # changed settings of the relays

    def _at(self) -> float:
        return round(self.rng.uniform(0.05, 0.9) * self.scenario.length_s, 3)

    def _len(self, low: float, high: float) -> float:
        return round(self.rng.uniform(low, high), 3)

    def _relay(self) -> int:
        return self.rng.randrange(self.scenario.relays.count)

    def _repeats(self, maximum: int) -> range:
        return range(self.rng.randint(1, maximum))

    def _add_event(self, what: str, **fields: Any) -> None:
        self.events.append({"at_s": self._at(), "what": what, **fields})

    def _add_strike(self, **fields: Any) -> None:
        life = self.rng.choice((0, 0, 0, 1, 1, 2))
        self.strikes.append({"relay": self._relay(), "life": life, **fields})

    def kills(self) -> None:
        """Kills at random times."""
        for _ in self._repeats(3):
            self._add_event("kill", relay=self._relay())

    def terms(self) -> None:
        """Orderly restarts by SIGTERM."""
        for _ in self._repeats(2):
            self._add_event("term", relay=self._relay())

    def moves(self) -> None:
        """The directory moves to another address, announced by SIGHUP."""
        self._add_event("move")

    def wipes(self) -> None:
        """The loss of a machine with its state folder."""
        self._add_event("wipe", relay=self._relay())

    def kills_at_calls(self) -> None:
        """Kills before, within and after single system calls, in successive processes of a relay."""
        relay = self._relay()
        for life in range(self.rng.randint(1, MAX_LIFETIMES)):
            when, call = self.rng.choice(("before", "within", "after")), self.rng.choice(SYSTEM_CALLS)
            at = self._draw_index(RARE_CALLS.get(call, 60))
            self.strikes.append({"relay": relay, "life": life, "call": call, "at": at, "when": when})

    def _draw_index(self, maximum: int) -> int:
        """Draw a call number log-uniformly, as what happens at a start happens in early calls."""
        return max(1, int(maximum ** self.rng.random()))

    def kills_at_steps(self) -> None:
        """Kills between two steps of the event loop."""
        for _ in self._repeats(3):
            self._add_strike(unit="step", at=self._draw_index(3000))

    def disk_errors(self) -> None:
        """Single failing or short writes, failing renames and truncations."""
        for _ in self._repeats(4):
            call = self.rng.choice(("write", "write", "write", "replace", "truncate"))
            what = self.rng.choice(("short", "ENOSPC", "EIO") if call == "write" else ("EIO",))
            self._add_strike(call=call, what=what, at=self._draw_index(200 if call == "write" else 3))

    def disk_full(self) -> None:
        """A disk that is full for a while or to the end of the run."""
        self._add_event("full", relay=self._relay(), len_s=self._len(0.2, self.scenario.length_s))

    def stalls(self) -> None:
        """A process that is suspended."""
        for _ in self._repeats(2):
            self._add_event("stall", relay=self._relay(), len_s=self._len(0.1, 5.0))

    def jumps(self) -> None:
        """A wall clock that jumps."""
        for _ in self._repeats(2):
            back, size = self.rng.random() < 0.5, self._len(0.1, 60.0)
            self._add_event("jump", relay=self._relay(), size=size, back=back)

    def partitions(self) -> None:
        """A relay that is partitioned from everything."""
        for _ in self._repeats(2):
            self._add_event("apart", relay=self._relay(), len_s=self._len(0.05, 4.0))

    def outages(self) -> None:
        """Endpoints that refuse connections, hang, are slow or are shut down."""
        for _ in self._repeats(3):
            what = self.rng.choice(("refuse", "silent", "slow", "shut"))
            dest = self.rng.randrange(self.scenario.partners.destinations) if self.rng.random() < 0.5 else -1
            self._add_event(
                what, dest=dest, part=round(self.rng.uniform(0.1, 0.4), 2), len_s=self._len(0.5, 6)
            )

    def churn(self) -> None:
        """Endpoints that drain, are removed or are replaced."""
        for _ in self._repeats(4):
            what = self.rng.choice(("drain", "remove", "replace"))
            self._add_event(what, count=self.rng.randint(1, 2), len_s=self._len(0.5, 4))

    def directory_outages(self) -> None:
        """The directory is unavailable."""
        self._add_event("directory_out", len_s=self._len(0.5, 6))

    def corrupt_responses(self) -> None:
        """Corrupt responses."""
        self._add_event("garble", part=round(self.rng.uniform(0.05, 0.5), 2), len_s=self._len(1, 6))

    def malformed_clients(self) -> None:
        """Clients that send malformed requests."""
        self._add_event("rude", count=self.rng.randint(3, 20), len_s=self._len(0.5, 3))

    def tails(self) -> None:
        """A class whose processing times have a heavy tail."""
        cls = self.rng.choice(self.scenario.classes).name
        self._add_event("heavy_tail", cls=cls, part=0.05, size=15.0, len_s=self._len(1, 6))

    def links(self) -> None:
        """Links that delay, cut, slow to single bytes, or go silent."""
        for _ in self._repeats(3):
            between = self.rng.choice(("hosts", "directory", "clients"))
            # Byte by byte, notices exceed their time limit, so that no relay could keep the rule.
            dripping = ("drip",) if between != "directory" else ()
            what = self.rng.choice(("delay", "cut", "silence", *dripping))
            fields: Row = {"size": 80.0} if what == "delay" else {}
            if what == "cut":
                fields["after_bytes"] = self.rng.choice((0, 20, 150, 400, 2000))
            self._add_event(what, between=between, len_s=self._len(0.2, 3), **fields)

    def power(self) -> None:
        """Durable journals, machines that lose power, and syncs that fail.

        Not together with wall clock jumps: after a boot the relay trusts the wall clock.
        """
        self.relays["durable"] = True
        if all(row["what"] != "jump" for row in self.events):
            for _ in self._repeats(3):
                self._add_event("power", relay=self._relay())
        for _ in self._repeats(3):
            call, when = self.rng.choice(SYNC_CALLS), self.rng.choice(("before", "within", "after"))
            what = self.rng.choice(("EIO", "kill"))
            self._add_strike(call=call, what=what, when=when, at=self._draw_index(RARE_CALLS.get(call, 200)))

    def inactive_destinations(self) -> None:
        """Few destinations stay active without use, and only for a short time."""
        self.relays |= {"awake": self.rng.randint(1, 2), "rest_s": self._len(0.05, 1.0)}

    def upgrades(self) -> None:
        """Upgrades, most of them with a process killed at some time or at one of its system calls."""
        if not self.scenario.relays.console:
            return
        for _ in self._repeats(3):
            fields: Row = {"relay": self._relay()}
            if self.rng.random() < 0.5:
                fields |= {"len_s": self._len(0.01, 3.0), "back": self.rng.random() < 0.5}
            self._add_event("upgrade", **fields)
        for _ in range(self.rng.randint(0, 2)):
            self.strikes.append({
                "relay": self._relay(), "life": self.rng.randint(0, 3), "at": self._draw_index(400),
                "when": self.rng.choice(("before", "within", "after")),
            })  # fmt: skip

    def operator_disables(self) -> None:
        """Operators disable hosts and enable them again."""
        if self.scenario.relays.staff:
            for _ in self._repeats(3):
                self._add_event(
                    "out", relay=self._relay(), count=self.rng.randint(1, 2), len_s=self._len(0.3, 4)
                )

    def reloads(self) -> None:
        """Settings changes during upgrades: a new directory address, other settings, or a broken file,
        announced to either process or to none, beside kills and a full disk.

        Draws from its own random source, so that the seeds of scenarios without reloads keep their faults. On
        a full disk a broken file is repaired soon, as after a kill nothing would show which settings were in
        force.
        """
        rng = self.rng = random.Random(f"reloads {self.seed}")
        for at_s, relay in [(row["at_s"], row["relay"]) for row in self.events if row["what"] == "upgrade"]:
            full = rng.random() < 0.5
            for what in rng.sample(("move", "classes", "deadlines", "broken", "same"), rng.randint(1, 3)):
                late_s = rng.choice((self._len(0.0, 0.05), self._len(0.0, 0.6), self._len(0.0, 3.0)))
                row: Row = {"at_s": round(min(at_s + late_s, 0.95 * self.scenario.length_s), 3), "what": what}
                if what != "move":
                    row |= {"what": "reload", "file": what, "relay": relay}
                    row |= {"back": rng.random() < 0.4, "unsaid": rng.random() < 0.2}
                    row |= {"len_s": self._len(0.1, 0.6)} if full and what == "broken" else {}
                self.events.append(row)
            if full:
                start_s = round(max(0.0, at_s - self._len(0.0, 0.5)), 3)
                self.events.append(
                    {"at_s": start_s, "what": "full", "relay": relay, "len_s": self._len(0.05, 3.0)}
                )

    def repeated_answers(self) -> None:
        """Hosts, and half of the time the directory and the notices, that write answers twice.

        Draws from its own random source, so that the seeds of other scenarios keep their faults.
        """
        rng = random.Random(f"repeats {self.seed}")
        self.events += draw_repeats(rng, self.scenario.length_s)

    def network(self) -> None:
        """Links with latency, jitter and low throughput that split bytes anywhere."""
        latency = round(self.rng.choice((0.1, 1.0, 8.0)), 3)
        self.net = {
            "latency_ms": (latency / 2, latency),
            "jitter_ms": (0.0, self.rng.choice((0.0, 1.0, 6.0))),
            "bytes_per_s": self.rng.choice(((0.0, 0.0), (1e6, 5e6))),
            "piece": self.rng.choice(((0, 0), (1, 3), (1, 400))),
        }


KINDS: dict[str, Callable[[FaultPlan], None]] = {
    name: getattr(FaultPlan, name)
    for name in (
        "kills", "terms", "moves", "wipes", "kills_at_calls", "kills_at_steps", "disk_errors", "disk_full",
        "stalls", "jumps", "partitions", "outages", "churn", "directory_outages", "corrupt_responses",
        "malformed_clients", "tails", "links", "network", "power", "inactive_destinations", "upgrades",
        "operator_disables",
    )
}  # fmt: skip


def swarm(scenario: Scenario, seed: int) -> Scenario:
    """Return the scenario with this seed and the drawn faults in addition to its own."""
    plan = FaultPlan(scenario, seed)
    for draw in KINDS.values():
        # These draw nothing for relays without a console or operators.
        always = draw in (FaultPlan.upgrades, FaultPlan.operator_disables)
        if always or plan.rng.random() < KIND_PROBABILITY:
            draw(plan)
    if scenario.relays.reloads:
        plan.reloads()
    if scenario.partners.repeats:
        plan.repeated_answers()
    # From a separate random source, so that existing seeds keep their faults. Whether second copies are
    # allowed is drawn too, as no site's rules say what may go wrong.
    copies = random.Random(f"copies {seed}").random() < 0.5
    return scenario.model_copy(
        update={
            "seed": seed,
            "rules": scenario.rules.model_copy(update={"second_copies": copies}),
            "relays": scenario.relays.model_copy(update=plan.relays),
            "events": (*scenario.events, *(EventTable.model_validate(row) for row in plan.events)),
            "strikes": (*scenario.strikes, *(StrikeTable.model_validate(row) for row in plan.strikes)),
            "net": NetTable.model_validate(plan.net) if plan.net else scenario.net,
        }
    )
