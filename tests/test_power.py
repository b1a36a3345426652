"""Power loss: what a durable journal has reported as stored must be there after the machine is back."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowlug.core.journal import Journal, JournalFullError
from mallowlug.core.recovered_state import Attempt
from mallowlug.rig.sim.disk import SimDisk
from mallowlug.rig.sim.net import os_error

STATE_FOLDER, DISK_BYTES = Path("/state"), 3_000_000


def open_journal(disk: SimDisk, durable: bool = True) -> Journal:
    """Open the journal, as at a start."""
    return Journal(STATE_FOLDER, DISK_BYTES, disk, durable)


def accept(journal: Journal, message_id: str, size: int = 100) -> None:
    """Accept a message."""
    journal.accept(message_id, {"id": message_id, "dest": 1}, b"x" * size)


def fail_next_calls(disk: SimDisk, name: str, times: int) -> Callable[[], int]:
    """Make the next ``times`` calls of a method fail; returns a function with how many still will."""
    real, remaining = getattr(disk, name), [times]

    def call(*args: object) -> None:
        if remaining[0]:
            remaining[0] -= 1
            raise os_error(5)
        real(*args)

    setattr(disk, name, call)
    return lambda: remaining[0]


@given(st.integers(0, 2**32), st.integers(1, 60), st.integers(0, 4))
def test_reported_results_survive_any_number_of_power_losses(seed: int, count: int, losses: int) -> None:
    """Accepted messages, attempts and results are recovered, whatever unsynced data is lost."""
    rng, disk = random.Random(seed), SimDisk(random.Random(seed))
    accepted: dict[str, int] = {}
    results: dict[str, str] = {}
    for life in range(losses + 1):
        journal = open_journal(disk)
        assert set(accepted) - set(results) <= set(journal.recovered)
        for ref, attempts in accepted.items():
            if ref not in results:
                assert len(journal.recovered[ref].attempts) >= attempts, "an attempt that was made is known"
            elif ref in journal.recovered:
                assert journal.recovered[ref].notice == (results[ref], 0), (
                    "the result stays the one that was reported"
                )
        for number in range(count):
            accept(journal, ref := f"{life}-{number}", rng.randint(0, 20_000))
            accepted[ref] = 0
            for known in rng.sample(
                sorted(set(accepted) - set(results)), min(2, len(set(accepted) - set(results)))
            ):
                journal.record_attempts([(known, Attempt(accepted[known], "h", "z", 5))])
                journal.sync()
                accepted[known] += 1
                if rng.random() < 0.6:
                    journal.record_end(known, "dead", 0)
                    journal.sync()
                    results[known] = "dead"
                    if rng.random() < 0.8:
                        journal.record_completed(known)
        disk.crash()


def test_journal_that_is_not_durable_loses_records() -> None:
    """The check above can fail."""
    lost = 0
    for seed in range(20):
        disk = SimDisk(random.Random(seed))
        journal = open_journal(disk, durable=False)
        accept(journal, "m1")
        disk.crash()
        lost += "m1" not in open_journal(disk, durable=False).recovered
    assert lost


def test_power_loss_between_rename_and_directory_sync() -> None:
    """Either log may be found; both hold every open message."""
    for seed in range(20):
        disk = SimDisk(random.Random(seed))
        journal = open_journal(disk)
        accept(journal, "open")
        for number in range(60):
            accept(journal, f"m{number}", 10_000)
            journal.record_completed(f"m{number}")
        calls_left = fail_next_calls(disk, "sync_folder", 1)
        # The new log's directory entry is not synced: messages are refused.
        with pytest.raises(JournalFullError):
            for number in range(1000):
                accept(journal, f"n{number}", 10_000)
                journal.record_completed(f"n{number}")
                if not calls_left():
                    fail_next_calls(disk, "sync_folder", 1)
                    accept(journal, "refused")
        disk.crash()
        assert "open" in open_journal(disk).recovered


def test_failed_sync_refuses_and_the_next_one_rewrites_the_log() -> None:
    disk = SimDisk(random.Random(1))
    journal = open_journal(disk)
    accept(journal, "before")
    fail_next_calls(disk, "sync", 2)  # of the log, then of the new log
    with pytest.raises(JournalFullError):
        accept(journal, "refused")
    with pytest.raises(JournalFullError):
        accept(journal, "refused too")
    accept(journal, "after")
    disk.crash()
    assert list(open_journal(disk).recovered) == ["before", "after"]


def test_failed_sync_raises_and_the_next_one_makes_its_records_safe() -> None:
    """``Journal.sync`` raises for the records it covers; they are in the log that is rewritten."""
    disk = SimDisk(random.Random(2))
    journal = open_journal(disk)
    accept(journal, "m")
    journal.record_attempts([("m", Attempt(0, "h", "z", 5))])
    fail_next_calls(disk, "sync", 1)
    with pytest.raises(JournalFullError):
        journal.sync()
    journal.sync()
    disk.crash()
    assert len(open_journal(disk).recovered["m"].attempts) == 1
