"""Upgrades in the simulated world: seeds that once failed, kills at each call, and planted faults."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from mallowlug.compose import RelayProcess
from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.relay import RelayCore
from mallowlug.core.reserved_space import SMALL_FOLDER as SMALL_ROOM
from mallowlug.rig.judge import record as rec
from mallowlug.rig.sim import exhaust
from mallowlug.rig.sim.disk import SimDisk
from mallowlug.rig.sim.faults import swarm
from mallowlug.rig.sim.process import STATE
from mallowlug.rig.sim.sweep import WHEN, played
from mallowlug.rig.world import scenario
from mallowlug.rig.world.scenario import EventTable, Scenario
from mallowlug.upgrade import spool
from mallowlug.upgrade.coordinator import UpgradeCoordinator
from tests.sim.worlds import Patch, judged, planted
from tests.world import ROOT

UPGRADE = scenario.load(ROOT / "scenarios" / "upgrade.toml")
STAFF = scenario.load(ROOT / "scenarios" / "staff.toml")
HANDOVER = scenario.load(ROOT / "scenarios" / "handover.toml")
# What each found is in the commits: files that came back or had one name, a full disk, order at a door.
ONCE_FAILED = (
    1, 19, 36, 48, 68, 116, 119, 147, 150, 151, 172, 185, 197, 215, 223, 251, 255, 9026, 9035, 20095,
    20270, 20293, 20391, 51104, 51122, 70433, 70640,
)  # fmt: skip
SMALL: dict[str, Any] = exhaust.WORLD | {
    "length_s": 1.2,
    "relays": exhaust.WORLD["relays"] | {"console": True, "disk_mb": 0.3},
    "event": [{"at_s": 0.15, "what": "upgrade"}],
    "message": [
        {"at_s": 0.02 + 0.03 * number, "cls": cls, "dest": 0, "member": "parqueos-centro", "order": order,
         "size": 200}
        for number, (cls, order) in enumerate(
            [("unsafe", ""), ("safe", ""), ("keyed", ""), ("line", "a"), ("unsafe", ""), ("line", "a")] * 4
        )
    ],
}  # fmt: skip


def small(*strikes: dict[str, Any]) -> Scenario:
    """A relay that is upgraded among 24 messages, with these strikes."""
    return Scenario.model_validate(SMALL | {"strike": list(strikes)})


def roomy() -> Scenario:
    """The same where nothing is refused or fails."""
    kind = SMALL["kind"][0] | {"limited": False, "least_per_s": (200, 200), "error_rate": 0.0, "batch": 1}
    return Scenario.model_validate(SMALL | {"kind": [kind]})


@pytest.mark.parametrize("seed", ONCE_FAILED)
def test_seeds_that_once_failed_keep_every_rule(seed: int) -> None:
    result = played(swarm(UPGRADE, seed))
    assert (result.state, result.breaches, result.complaints) == ("kept", (), ())


def test_an_upgrade_passes_the_messages_on(tmp_path: Path) -> None:
    done, record, verdict = judged(roomy(), tmp_path)
    assert (verdict.state, done.complaints) == ("kept", [])
    ends = [ref for e in record.events if isinstance(e, rec.CallAnswered) for ref, end in e.ends.items()
            if end == "delivered"]  # fmt: skip
    assert len(ends) == len(set(ends)) == 24
    assert any("handed over" in line for line in done.logs["n0"])
    assert len(done.calls) == 2 and done.calls[1][1] > 20  # both lives made system calls


@pytest.mark.parametrize("life", [0, 1])
@pytest.mark.parametrize("when", WHEN)
def test_no_kill_at_a_call_of_either_process_breaks_a_rule(life: int, when: str) -> None:
    """Every third call of the handover, and some behind it; each way begins at another one."""
    listens, calls = played(small()).calls[life]
    first = max(1, calls - 60) if life == 0 else 1  # an old one hands over with its last calls
    last = calls if life == 0 else listens + 15
    failed = []
    for at in (*range(first + WHEN.index(when), last + 1, 3), *range(last + 1, calls + 1, 25)):
        result = played(small({"life": life, "at": at, "when": when}))
        if result.state == "error" or result.breaches or result.complaints:
            failed.append((at, result.breaches, result.complaints))
    assert calls > 20
    assert failed == []


def both_own(monkey: pytest.MonkeyPatch) -> None:
    """A lock that anybody gets."""
    monkey.setattr(SimDisk, "lock", lambda self, fd: True)


def waits_left_behind(monkey: pytest.MonkeyPatch) -> None:
    """Told waits are not handed over."""
    real = RelayCore.handover_state

    def telling(self: RelayCore) -> Any:
        binds = real(self)
        binds.waits, binds.learned = {}, []
        return binds

    monkey.setattr(RelayCore, "handover_state", telling)


def door_unread(monkey: pytest.MonkeyPatch) -> None:
    """What a door writes is removed unread."""
    monkey.setattr(spool, "read_spooled_message", lambda data, at: None)


def read_anew(monkey: pytest.MonkeyPatch) -> None:
    """How far a door's file is adopted is forgotten with the life, and so is what is over."""
    monkey.setattr(RelayCore, "spools", property(lambda self: {}))
    monkey.setattr(RelayCore, "knows", lambda self, ref: False)


def ban_lost(monkey: pytest.MonkeyPatch) -> None:
    """Which hosts are out is not read at a start."""
    monkey.setattr(DisabledHosts, "_read", lambda self: self.hosts)


def banned() -> Scenario:
    """The one host is taken out, the relay upgraded, and messages go on coming."""
    events = [{"at_s": 0.05, "what": "out", "len_s": 1.1, "count": 2}, {"at_s": 0.15, "what": "upgrade"}]
    late = [{**message, "at_s": 0.75 + 0.01 * number} for number, message in enumerate(SMALL["message"])]
    return Scenario.model_validate(SMALL | {"event": events, "message": late})


def waiting() -> Scenario:
    """Every call is refused with a wait of seconds, and the relay is upgraded at once."""
    kind = SMALL["kind"][0] | {"wait_ms": (2000, 2500)}
    return Scenario.model_validate(SMALL | {"kind": [kind], "length_s": 3.0})


@pytest.mark.parametrize(
    ("plant", "world", "rules"),
    [
        (both_own, small, {"twice"}),
        (waits_left_behind, waiting, {"waits"}),
        (door_unread, small, {"lost"}),
        (read_anew, roomy, {"twice"}),
        (ban_lost, banned, {"drains"}),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_a_planted_fault_of_the_handover_is_caught(
    plant: Patch, world: Any, rules: set[str], tmp_path: Path
) -> None:
    assert judged(world(), tmp_path / "kept")[2].breaches == ()
    with planted(plant):
        _, _, verdict = judged(world(), tmp_path / "planted")
    assert rules <= {breach.rule for breach in verdict.breaches}


def start_counts(monkey: pytest.MonkeyPatch) -> None:
    """Who takes over goes by what it read at its start; so it was once."""
    monkey.setattr(RelayProcess, "apply_config_in_force", lambda self, binds: None)
    monkey.setattr(UpgradeCoordinator, "_exchange_news", lambda self: self._process.refresh_disabled_hosts())


def not_handed_over(monkey: pytest.MonkeyPatch) -> None:
    """What is in force does not go over: a broken file leaves the one who takes over as it started."""
    monkey.setattr(RelayProcess, "_config_in_force", lambda self, binds: None)
    real = UpgradeCoordinator.wait_for_ownership

    async def deaf(self: UpgradeCoordinator) -> None:
        self._process.reload_config = lambda: True  # type: ignore[method-assign]
        await real(self)
        del self._process.reload_config

    monkey.setattr(UpgradeCoordinator, "wait_for_ownership", deaf)


def hup_not_told(monkey: pytest.MonkeyPatch) -> None:
    """Neither process hears of the other's SIGHUP, and nobody reads the file at a take-over."""
    monkey.setattr(UpgradeCoordinator, "_record_sighup", lambda self: None)
    monkey.setattr(RelayProcess, "apply_config_in_force", lambda self, binds: None)


@pytest.mark.parametrize("seed", [*range(1, 9), 103, 131, 135, 1123, 1229])
def test_whoever_takes_over_goes_by_what_is_in_force(seed: int) -> None:
    """The file changes at every stage of a handover, told to either process or to none."""
    result = played(swarm(HANDOVER, seed))
    assert (result.state, result.breaches, result.complaints) == ("kept", (), ())


def test_reloads_are_drawn_at_every_stage_and_to_either_process() -> None:
    drawn = [event for seed in range(40) for event in swarm(HANDOVER, seed).events]
    files = {(event.file, event.back) for event in drawn if event.what == "reload"}
    assert files == {(file, back) for file in ("same", "classes", "deadlines", "broken")
                     for back in (False, True)}  # fmt: skip
    assert any(event.what == "move" for event in drawn)


def broken_behind_a_move() -> Scenario:
    """While a process waits in line the directory moves, and then the file is broken for good."""
    rows = [{"at_s": 4.0, "what": "upgrade"}, {"at_s": 4.01, "what": "move"},
            {"at_s": 4.015, "what": "reload", "file": "broken"},
            {"at_s": 6.0, "what": "silent", "dest": 0, "len_s": 4.0}]  # fmt: skip
    return HANDOVER.model_copy(update={"events": tuple(map(EventTable.model_validate, rows))})


@pytest.mark.parametrize(
    ("plant", "world"),
    [
        (start_counts, lambda: swarm(HANDOVER, 5)),
        (not_handed_over, broken_behind_a_move),
        (hup_not_told, lambda: swarm(HANDOVER, 29)),
    ],
    ids=lambda value: value.__name__,
)
def test_a_stale_configuration_at_a_take_over_is_caught(plant: Patch, world: Any) -> None:
    assert played(world()).breaches == ()
    with planted(plant):
        result = played(world())
    assert "lost" in result.rules


@pytest.mark.parametrize("seed", (*range(1, 7), 59))
def test_hosts_out_by_hand_are_left_alone_through_kills_and_upgrades(seed: int, tmp_path: Path) -> None:
    _, record, verdict = judged(swarm(STAFF, seed), tmp_path)
    assert (verdict.state, verdict.breaches) == ("kept", ())
    assert sum(isinstance(event, rec.HostDisabled) for event in record.events) > 0


def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> tuple[int, int, bool]:
    """Upgrades with bodies of 9 kB, which fill the budget: the folder's size at most, how often a log was
    compacted while a door's file stood there, and whether every rule was kept.
    """
    relays = UPGRADE.relays.model_copy(update={"disk_mb": 0.6})
    load = UPGRADE.load.model_copy(update={"body": 9000, "rate_per_s": 60.0})
    events = tuple(EventTable(at_s=1 + at * 0.45, what="upgrade", relay=at % 2) for at in range(28))
    world = UPGRADE.model_copy(update={"relays": relays, "load": load, "events": events})
    sizes, beside = list[int](), 0
    real = SimDisk.write

    def writing(self: SimDisk, fd: int, data: bytes) -> int:
        nonlocal beside
        taken = real(self, fd, data)
        names = {path.name for path in self.files}
        beside += "journal.new" in names and any(name.startswith("door.") for name in names)
        sizes.append(sum(-(-len(file.data) // 512) * 512 for path, file in self.files.items()
                         if path.parent == STATE))  # fmt: skip
        return taken

    monkeypatch.setattr(SimDisk, "write", writing)
    kept = judged(world, tmp_path)[2].breaches == ()
    return max(sizes), beside, kept


def test_both_processes_files_fit_the_folder_also_through_compactions(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    size, beside, kept = folder(tmp_path, monkeypatch)
    assert size <= 600_000 and beside > 0 and kept


def test_a_journal_that_takes_more_than_its_part_of_the_folder_is_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "mallowlug.compose.reserved_space", lambda _bytes: replace(SMALL_ROOM, total_bytes=-600_000)
    )
    assert folder(tmp_path, monkeypatch)[0] > 600_000


def test_an_upgrade_needs_a_console() -> None:
    with pytest.raises(ValueError, match="console is off"):
        Scenario.model_validate(SMALL | {"relays": {"count": 1}})
