"""What a seed lets go wrong: swarm testing over all faults that a scenario can name. No I/O.

After Groce et al., "Swarm Testing" (ISSTA 2012): every seed switches a random part of the fault kinds on,
each with a rate of its own, so that one kind does not hide another. What is drawn is an ordinary scenario: it
can be written down, played again, and made smaller.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from mallowlug.rig.world.scenario import SYNC_CALLS, SYSTEM_CALLS, EventTable, NetTable, Scenario, StrikeTable

Row = dict[str, Any]
ON = 0.35  # chance that a kind of fault is on
LIVES = 4  # lives of a relay that strikes reach
# About how often a life makes each call in such a world, so that strikes fall; the others are made often.
RARE = {
    "open": 3, "truncate": 2, "replace": 2, "unlink": 2, "read": 3, "write.journal.new": 2, "sync_folder": 3,
    "send.watch": 4, "send.notice": 8, "write.end": 12,
}  # fmt: skip


class Drawing:
    """One seed's drawing for one scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed, self.rng = scenario, seed, random.Random(f"faults {seed}")
        self.events: list[Row] = []
        self.strikes: list[Row] = []
        self.net: Row = {}
        self.relays: Row = {}  # what is told to the relays

    def _at(self) -> float:
        return round(self.rng.uniform(0.05, 0.9) * self.scenario.length_s, 3)

    def _len(self, low: float, high: float) -> float:
        return round(self.rng.uniform(low, high), 3)

    def _relay(self) -> int:
        return self.rng.randrange(self.scenario.relays.count)

    def _many(self, most: int) -> range:
        return range(self.rng.randint(1, most))

    def _event(self, what: str, **more: Any) -> None:
        self.events.append({"at_s": self._at(), "what": what, **more})

    def _strike(self, **more: Any) -> None:
        life = self.rng.choice((0, 0, 0, 1, 1, 2))
        self.strikes.append({"relay": self._relay(), "life": life, **more})

    def kills(self) -> None:
        """Kills at any time."""
        for _ in self._many(3):
            self._event("kill", relay=self._relay())

    def terms(self) -> None:
        """Orderly restarts."""
        for _ in self._many(2):
            self._event("term", relay=self._relay())

    def moves(self) -> None:
        """The directory moves, and SIGHUP."""
        self._event("move")

    def wipes(self) -> None:
        """A machine is lost with its folder."""
        self._event("wipe", relay=self._relay())

    def kills_at_calls(self) -> None:
        """Kills before, within and after single system calls, in one life after another of a relay."""
        relay = self._relay()
        for life in range(self.rng.randint(1, LIVES)):
            when, call = self.rng.choice(("before", "within", "after")), self.rng.choice(SYSTEM_CALLS)
            at = self._nth(RARE.get(call, 60))
            self.strikes.append({"relay": relay, "life": life, "call": call, "at": at, "when": when})

    def _nth(self, most: int) -> int:
        """Early calls as often as late ones: what happens at a start happens early."""
        return max(1, int(most ** self.rng.random()))

    def kills_at_steps(self) -> None:
        """Kills between two steps of the loop."""
        for _ in self._many(3):
            self._strike(unit="step", at=self._nth(3000))

    def disk_errors(self) -> None:
        """Single failing and short writes, and failing renames."""
        for _ in self._many(4):
            call = self.rng.choice(("write", "write", "write", "replace", "truncate"))
            what = self.rng.choice(("short", "ENOSPC", "EIO") if call == "write" else ("EIO",))
            self._strike(call=call, what=what, at=self._nth(200 if call == "write" else 3))

    def disk_full(self) -> None:
        """A disk that stays full for a while, or to the end."""
        self._event("full", relay=self._relay(), len_s=self._len(0.2, self.scenario.length_s))

    def stalls(self) -> None:
        """A process that stands still."""
        for _ in self._many(2):
            self._event("stall", relay=self._relay(), len_s=self._len(0.1, 5.0))

    def jumps(self) -> None:
        """A wall clock that jumps."""
        for _ in self._many(2):
            back, size = self.rng.random() < 0.5, self._len(0.1, 60.0)
            self._event("jump", relay=self._relay(), size=size, back=back)

    def partitions(self) -> None:
        """A relay that nothing reaches."""
        for _ in self._many(2):
            self._event("apart", relay=self._relay(), len_s=self._len(0.05, 4.0))

    def outages(self) -> None:
        """Endpoints that refuse, hang, crawl or are shut."""
        for _ in self._many(3):
            what = self.rng.choice(("refuse", "silent", "slow", "shut"))
            dest = self.rng.randrange(self.scenario.partners.destinations) if self.rng.random() < 0.5 else -1
            self._event(what, dest=dest, part=round(self.rng.uniform(0.1, 0.4), 2), len_s=self._len(0.5, 6))

    def churn(self) -> None:
        """Endpoints that drain, go, or are replaced."""
        for _ in self._many(4):
            what = self.rng.choice(("drain", "remove", "replace"))
            self._event(what, count=self.rng.randint(1, 2), len_s=self._len(0.5, 4))

    def blind(self) -> None:
        """The directory is away."""
        self._event("directory_out", len_s=self._len(0.5, 6))

    def spoilt(self) -> None:
        """Spoilt answers."""
        self._event("garble", part=round(self.rng.uniform(0.05, 0.5), 2), len_s=self._len(1, 6))

    def rude(self) -> None:
        """Clients that send nonsense."""
        self._event("rude", count=self.rng.randint(3, 20), len_s=self._len(0.5, 3))

    def tails(self) -> None:
        """A class with a heavy tail."""
        cls = self.rng.choice(self.scenario.classes).name
        self._event("heavy_tail", cls=cls, part=0.05, size=15.0, len_s=self._len(1, 6))

    def links(self) -> None:
        """Links that delay, cut, drip or fall silent."""
        for _ in self._many(3):
            between = self.rng.choice(("hosts", "directory", "clients"))
            # Byte by byte, notices take longer than their time: no relay could keep the rule then.
            dripping = ("drip",) if between != "directory" else ()
            what = self.rng.choice(("delay", "cut", "silence", *dripping))
            more: Row = {"size": 80.0} if what == "delay" else {}
            if what == "cut":
                more["after_bytes"] = self.rng.choice((0, 20, 150, 400, 2000))
            self._event(what, between=between, len_s=self._len(0.2, 3), **more)

    def power(self) -> None:
        """Durable journals, machines that lose power, and syncs that fail.

        Not beside a clock that was set: after a new start of the machine the wall clock is believed.
        """
        self.relays["durable"] = True
        if all(row["what"] != "jump" for row in self.events):
            for _ in self._many(3):
                self._event("power", relay=self._relay())
        for _ in self._many(3):
            call, when = self.rng.choice(SYNC_CALLS), self.rng.choice(("before", "within", "after"))
            what = self.rng.choice(("EIO", "kill"))
            self._strike(call=call, what=what, when=when, at=self._nth(RARE.get(call, 200)))

    def sleepers(self) -> None:
        """Next to no destination stays awake without being used."""
        self.relays |= {"awake": self.rng.randint(1, 2), "rest_s": self._len(0.05, 1.0)}

    def upgrades(self) -> None:
        """Upgrades, most of them while a process is killed, at a time or at one of its system calls."""
        if not self.scenario.relays.console:
            return
        for _ in self._many(3):
            more: Row = {"relay": self._relay()}
            if self.rng.random() < 0.5:
                more |= {"len_s": self._len(0.01, 3.0), "back": self.rng.random() < 0.5}
            self._event("upgrade", **more)
        for _ in range(self.rng.randint(0, 2)):
            self.strikes.append({
                "relay": self._relay(), "life": self.rng.randint(0, 3), "at": self._nth(400),
                "when": self.rng.choice(("before", "within", "after")),
            })  # fmt: skip

    def hands(self) -> None:
        """Staff take hosts out, and back."""
        if self.scenario.relays.staff:
            for _ in self._many(3):
                self._event("out", relay=self._relay(), count=self.rng.randint(1, 2), len_s=self._len(0.3, 4))

    def reloads(self) -> None:
        """The file changes while one process follows another: another address of the directory, other
        settings, a broken file; told to either process or to none, beside kills and a full disk.

        By a source of its own, so that the seeds of worlds without it stay what they are. Where the disk is
        full a broken file is mended soon: behind a kill nobody would know then what was in force.
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

    def network(self) -> None:
        """Slow, jittering, thin links that split bytes anywhere."""
        latency = round(self.rng.choice((0.1, 1.0, 8.0)), 3)
        self.net = {
            "latency_ms": (latency / 2, latency),
            "jitter_ms": (0.0, self.rng.choice((0.0, 1.0, 6.0))),
            "bytes_per_s": self.rng.choice(((0.0, 0.0), (1e6, 5e6))),
            "piece": self.rng.choice(((0, 0), (1, 3), (1, 400))),
        }


KINDS: dict[str, Callable[[Drawing], None]] = {
    name: getattr(Drawing, name)
    for name in (
        "kills", "terms", "moves", "wipes", "kills_at_calls", "kills_at_steps", "disk_errors", "disk_full",
        "stalls", "jumps", "partitions", "outages", "churn", "blind", "spoilt", "rude", "tails", "links",
        "network", "power", "sleepers", "upgrades",
        "hands",
    )
}  # fmt: skip


def swarm(scenario: Scenario, seed: int) -> Scenario:
    """The scenario with this seed, and with the faults that the seed draws beside the scenario's own."""
    drawing = Drawing(scenario, seed)
    for draw in KINDS.values():
        always = draw in (Drawing.upgrades, Drawing.hands)  # they draw nothing where relays have no staff
        if always or drawing.rng.random() < ON:
            draw(drawing)
    if scenario.relays.reloads:
        drawing.reloads()
    # By a source of its own, so that the seeds stay what they are: no site's rules say what may go wrong.
    copies = random.Random(f"copies {seed}").random() < 0.5
    return scenario.model_copy(
        update={
            "seed": seed,
            "rules": scenario.rules.model_copy(update={"second_copies": copies}),
            "relays": scenario.relays.model_copy(update=drawing.relays),
            "events": (*scenario.events, *(EventTable.model_validate(row) for row in drawing.events)),
            "strikes": (*scenario.strikes, *(StrikeTable.model_validate(row) for row in drawing.strikes)),
            "net": NetTable.model_validate(drawing.net) if drawing.net else scenario.net,
        }
    )
