"""Simulated upgrades: regression seeds, kills at each system call, and seeded faults."""

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
from mallowlug.rig.sim.sweep import WHEN, run_scenario
from mallowlug.rig.world import scenario
from mallowlug.rig.world.scenario import EventTable, Scenario
from mallowlug.upgrade import spool
from mallowlug.upgrade.coordinator import UpgradeCoordinator
from tests.sim.worlds import Patch, judged, seeded_fault
from tests.world import ROOT

UPGRADE = scenario.load(ROOT / "scenarios" / "upgrade.toml")
STAFF = scenario.load(ROOT / "scenarios" / "staff.toml")
HANDOVER = scenario.load(ROOT / "scenarios" / "handover.toml")
# The commits say what each found: reappearing or same-named files, a full disk, message order at a spool.
ONCE_FAILED = (
    1, 19, 36, 48, 68, 116, 119, 147, 150, 151, 172, 185, 197, 215, 223, 251, 255, 9026, 9035, 20095,
    20270, 20293, 20391, 51104, 51122, 70433, 70640,
)  # fmt: skip
SMALL_SCENARIO: dict[str, Any] = exhaust.BASE_SCENARIO | {
    "length_s": 1.2,
    "relays": exhaust.BASE_SCENARIO["relays"] | {"console": True, "disk_mb": 0.3},
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
    """A relay that is upgraded while 24 messages arrive, with these injected faults."""
    return Scenario.model_validate(SMALL_SCENARIO | {"strike": list(strikes)})


def small_without_refusals() -> Scenario:
    """The same without refusals or failures."""
    kind = SMALL_SCENARIO["kind"][0] | {
        "limited": False,
        "least_per_s": (200, 200),
        "error_rate": 0.0,
        "batch": 1,
    }
    return Scenario.model_validate(SMALL_SCENARIO | {"kind": [kind]})


def small_with_adoption() -> Scenario:
    """The same, with messages that the new process adopts from a spool file."""
    return small_without_refusals().model_copy(update={"seed": 3})


@pytest.mark.parametrize("seed", ONCE_FAILED)
def test_regression_seeds_keep_all_rules(seed: int) -> None:
    result = run_scenario(swarm(UPGRADE, seed))
    assert (result.state, result.breaches, result.complaints) == ("kept", (), ())


def test_an_upgrade_hands_all_messages_over(tmp_path: Path) -> None:
    done, record, verdict = judged(small_without_refusals(), tmp_path)
    assert (verdict.state, done.complaints) == ("kept", [])
    ends = [ref for e in record.events if isinstance(e, rec.CallAnswered) for ref, end in e.ends.items()
            if end == "delivered"]  # fmt: skip
    assert len(ends) == len(set(ends)) == 24
    assert any("handed over" in line for line in done.logs["n0"])
    assert len(done.calls) == 2 and done.calls[1][1] > 20  # both processes made system calls


@pytest.mark.parametrize("life", [0, 1])
@pytest.mark.parametrize("when", WHEN)
def test_no_kill_at_a_call_of_either_process_breaks_a_rule(life: int, when: str) -> None:
    """Every third call of the handover and some after it; each ``when`` starts at another call."""
    listens, calls = run_scenario(small()).calls[life]
    first = max(1, calls - 60) if life == 0 else 1  # the old process hands over with its last calls
    last = calls if life == 0 else listens + 15
    failed = []
    for at in (*range(first + WHEN.index(when), last + 1, 3), *range(last + 1, calls + 1, 25)):
        result = run_scenario(small({"life": life, "at": at, "when": when}))
        if result.state == "error" or result.breaches or result.complaints:
            failed.append((at, result.breaches, result.complaints))
    assert calls > 20
    assert failed == []


def lock_always_granted(monkey: pytest.MonkeyPatch) -> None:
    """The owner lock is granted to every process."""
    monkey.setattr(SimDisk, "lock", lambda self, fd: True)


def waits_not_handed_over(monkey: pytest.MonkeyPatch) -> None:
    """Retry-After waits are not handed over."""
    real = RelayCore.handover_state

    def telling(self: RelayCore) -> Any:
        binds = real(self)
        binds.waits, binds.learned = {}, []
        return binds

    monkey.setattr(RelayCore, "handover_state", telling)


def spool_not_read(monkey: pytest.MonkeyPatch) -> None:
    """Spool files are removed unread."""
    monkey.setattr(spool, "read_spooled_message", lambda data, at: None)


def adopted_spool_forgotten(monkey: pytest.MonkeyPatch) -> None:
    """A restart forgets how far a spool file was adopted, and which messages are finished."""
    monkey.setattr(RelayCore, "spools", property(lambda self: {}))
    monkey.setattr(RelayCore, "knows", lambda self, ref: False)


def disabled_hosts_not_read(monkey: pytest.MonkeyPatch) -> None:
    """The disabled hosts are not read at a start."""
    monkey.setattr(DisabledHosts, "_read", lambda self: self.hosts)


def host_disabled() -> Scenario:
    """The only host is disabled, the relay upgraded, and messages keep arriving."""
    events = [{"at_s": 0.05, "what": "out", "len_s": 1.1, "count": 2}, {"at_s": 0.15, "what": "upgrade"}]
    late = [
        {**message, "at_s": 0.75 + 0.01 * number} for number, message in enumerate(SMALL_SCENARIO["message"])
    ]
    return Scenario.model_validate(SMALL_SCENARIO | {"event": events, "message": late})


def waiting() -> Scenario:
    """Every call is refused with a wait of seconds, and the relay is upgraded at once."""
    kind = SMALL_SCENARIO["kind"][0] | {"wait_ms": (2000, 2500)}
    return Scenario.model_validate(SMALL_SCENARIO | {"kind": [kind], "length_s": 3.0})


@pytest.mark.parametrize(
    ("fault", "make_scenario", "rules"),
    [
        (lock_always_granted, small, {"twice"}),
        (waits_not_handed_over, waiting, {"waits"}),
        (spool_not_read, small, {"lost"}),
        (adopted_spool_forgotten, small_with_adoption, {"twice"}),
        (disabled_hosts_not_read, host_disabled, {"drains"}),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_a_seeded_fault_of_the_handover_is_detected(
    fault: Patch, make_scenario: Any, rules: set[str], tmp_path: Path
) -> None:
    assert judged(make_scenario(), tmp_path / "kept")[2].breaches == ()
    with seeded_fault(fault):
        _, _, verdict = judged(make_scenario(), tmp_path / "seeded_fault")
    assert rules <= {breach.rule for breach in verdict.breaches}


def settings_of_start_used(monkey: pytest.MonkeyPatch) -> None:
    """The process that takes over uses the settings of its start, as an earlier version did."""
    monkey.setattr(RelayProcess, "apply_config_in_force", lambda self, binds: None)
    monkey.setattr(UpgradeCoordinator, "_exchange_news", lambda self: self._process.refresh_disabled_hosts())


def settings_not_handed_over(monkey: pytest.MonkeyPatch) -> None:
    """The settings in force are not handed over: with a broken file the new process keeps its first ones."""
    monkey.setattr(RelayProcess, "_config_in_force", lambda self, binds: None)
    real = UpgradeCoordinator.wait_for_ownership

    async def deaf(self: UpgradeCoordinator) -> None:
        self._process.reload_config = lambda: True  # type: ignore[method-assign]
        await real(self)
        del self._process.reload_config

    monkey.setattr(UpgradeCoordinator, "wait_for_ownership", deaf)


def sighup_not_shared(monkey: pytest.MonkeyPatch) -> None:
    """Neither process learns of the other's SIGHUP, and the file is not read at a takeover."""
    monkey.setattr(UpgradeCoordinator, "_record_sighup", lambda self: None)
    monkey.setattr(RelayProcess, "apply_config_in_force", lambda self, binds: None)


@pytest.mark.parametrize("seed", [*range(1, 9), 103, 131, 135, 1123, 1229])
def test_the_new_owner_uses_the_settings_in_force(seed: int) -> None:
    """The settings file changes at every stage of a handover, announced to either process or to none."""
    result = run_scenario(swarm(HANDOVER, seed))
    assert (result.state, result.breaches, result.complaints) == ("kept", (), ())


def test_reloads_are_drawn_at_every_stage_and_to_either_process() -> None:
    drawn = [event for seed in range(40) for event in swarm(HANDOVER, seed).events]
    files = {(event.file, event.back) for event in drawn if event.what == "reload"}
    assert files == {(file, back) for file in ("same", "classes", "deadlines", "broken")
                     for back in (False, True)}  # fmt: skip
    assert any(event.what == "move" for event in drawn)


def broken_behind_a_move() -> Scenario:
    """The directory moves while a process waits to take over; then the file stays broken."""
    rows = [{"at_s": 4.0, "what": "upgrade"}, {"at_s": 4.01, "what": "move"},
            {"at_s": 4.015, "what": "reload", "file": "broken"},
            {"at_s": 6.0, "what": "silent", "dest": 0, "len_s": 4.0}]  # fmt: skip
    return HANDOVER.model_copy(update={"events": tuple(map(EventTable.model_validate, rows))})


@pytest.mark.parametrize(
    ("fault", "make_scenario"),
    [
        (settings_of_start_used, lambda: swarm(HANDOVER, 5)),
        (settings_not_handed_over, broken_behind_a_move),
        (sighup_not_shared, lambda: swarm(HANDOVER, 29)),
    ],
    ids=lambda value: value.__name__,
)
def test_stale_settings_after_a_takeover_are_detected(fault: Patch, make_scenario: Any) -> None:
    assert run_scenario(make_scenario()).breaches == ()
    with seeded_fault(fault):
        result = run_scenario(make_scenario())
    assert "lost" in result.rules


@pytest.mark.parametrize("seed", (*range(1, 7), 59))
def test_disabled_hosts_get_no_calls_through_kills_and_upgrades(seed: int, tmp_path: Path) -> None:
    _, record, verdict = judged(swarm(STAFF, seed), tmp_path)
    assert (verdict.state, verdict.breaches) == ("kept", ())
    assert sum(isinstance(event, rec.HostDisabled) for event in record.events) > 0


def run_upgrades(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> tuple[int, int, bool]:
    """Run upgrades with bodies of 9 kB, which fill the disk budget.

    Returns the folder's max size, the number of writes during a compaction beside a spool file, and whether
    every rule was kept.
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


def test_files_of_both_processes_fit_the_folder_during_compactions(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    size, beside, kept = run_upgrades(tmp_path, monkeypatch)
    assert size <= 600_000 and beside > 0 and kept


def test_a_journal_that_exceeds_its_part_of_the_folder_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "mallowlug.compose.reserved_space", lambda _bytes: replace(SMALL_ROOM, total_bytes=-600_000)
    )
    assert run_upgrades(tmp_path, monkeypatch)[0] > 600_000


def test_an_upgrade_needs_a_console() -> None:
    with pytest.raises(ValueError, match="console is off"):
        Scenario.model_validate(SMALL_SCENARIO | {"relays": {"count": 1}})
