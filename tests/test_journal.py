"""The journal on real files: torn and damaged logs, compaction and the disk budget."""

from __future__ import annotations

import contextlib
import os
import random
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mallowlug.core.journal import COMPACTION_SLACK_BYTES, Journal, JournalFullError
from mallowlug.core.record_format import size_in_blocks
from mallowlug.core.recovered_state import Attempt, StoredOutage
from mallowlug.system import POSIX, PosixDisk
from mossfront.interface import OutageRecordKind

DISK_BYTES = 3_000_000


def reopen(folder: Path, disk_bytes: int = DISK_BYTES) -> Journal:
    """Open the journal as after a restart."""
    return Journal(folder, disk_bytes, POSIX.disk)


def accept(journal: Journal, *message_ids: str, size: int = 10) -> None:
    """Accept messages."""
    for ref in message_ids:
        journal.accept(ref, {"id": ref, "dest": 1}, ref.encode() * size)


def test_every_record_is_recovered(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK_BYTES, POSIX.disk)
    accept(journal, "a", "b", "c", "d")
    journal.record_attempts([("a", Attempt(0, "h1", "z", 5)), ("b", Attempt(0, "h2", "y", 6))])
    journal.record_never_ran("a", 0)
    journal.record_end("c", "bounced", 500)
    journal.record_completed("d")
    journal.close()
    found = reopen(tmp_path).recovered
    assert list(found) == ["a", "b", "c"]
    assert (found["a"].fields, found["a"].body) == ({"id": "a", "dest": 1}, b"a" * 10)
    assert found["a"].attempts == [Attempt(0, "h1", "z", 5, never_ran=True)]
    assert found["b"].attempts == [Attempt(0, "h2", "y", 6)]
    assert found["c"].notice == ("bounced", 500)


def test_torn_tail_is_truncated_before_appending(tmp_path: Path) -> None:
    """A SIGKILL during a write leaves a partial record; records appended after it would be lost."""
    journal = Journal(tmp_path, DISK_BYTES, POSIX.disk)
    accept(journal, "a")
    whole = (tmp_path / "journal").stat().st_size
    accept(journal, "b")
    data = (tmp_path / "journal").read_bytes()
    for end in range(whole, len(data)):
        (tmp_path / "journal").write_bytes(data[:end])
        accept(reopen(tmp_path), "c")
        assert list(reopen(tmp_path).recovered) == ["a", "c"]


@pytest.mark.parametrize("at", [0, 5, 9, 20])
def test_damaged_record_is_skipped_and_the_rest_recovered(
    tmp_path: Path, at: int, caplog: pytest.LogCaptureFixture
) -> None:
    journal = Journal(tmp_path, DISK_BYTES, POSIX.disk)
    accept(journal, "a")
    start = (tmp_path / "journal").stat().st_size
    accept(journal, "b", "c")
    data = bytearray((tmp_path / "journal").read_bytes())
    data[start + at] ^= 0xFF
    (tmp_path / "journal").write_bytes(data)
    assert list(reopen(tmp_path).recovered) == ["a", "c"]
    assert "damaged" in caplog.text


def test_compaction_keeps_open_messages_and_bounds_the_log(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK_BYTES, POSIX.disk)
    accept(journal, "kept")
    journal.record_attempts([("kept", Attempt(0, "h", "z", 1))])
    for number in range(3000):
        accept(journal, f"m{number}", size=50)
        journal.record_completed(f"m{number}")
    assert (tmp_path / "journal").stat().st_size < 2 * COMPACTION_SLACK_BYTES
    found = reopen(tmp_path).recovered
    assert list(found) == ["kept"]
    assert found["kept"].attempts == [Attempt(0, "h", "z", 1)]


def test_unfinished_compaction_is_removed(tmp_path: Path) -> None:
    accept(Journal(tmp_path, DISK_BYTES, POSIX.disk), "a")
    (tmp_path / "journal.new").write_bytes(b"half")
    assert list(reopen(tmp_path).recovered) == ["a"]
    assert not (tmp_path / "journal.new").exists()


def test_full_budget_refuses_and_reserves_space_for_open_messages(tmp_path: Path) -> None:
    disk = 200_000
    journal, refs = Journal(tmp_path, disk, POSIX.disk), []
    with pytest.raises(JournalFullError):
        for number in range(1000):
            accept(journal, f"m{number}", size=500)
            refs.append(f"m{number}")
    assert refs
    for ref in refs:  # all later records of them fit
        for number in range(6):
            journal.record_attempts([(ref, Attempt(number, "s-0123456789", "floor-2", 1 << 50))])
            journal.record_never_ran(ref, number)
        journal.record_end(ref, "bounced", 2000)
        assert sum(size_in_blocks(path.stat().st_size) for path in tmp_path.iterdir()) <= disk
    assert {r.notice for r in reopen(tmp_path, disk).recovered.values()} == {("bounced", 2000)}
    for ref in refs:
        journal.record_completed(ref)
    accept(journal, "again")


def test_failing_disk_refuses_messages(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK_BYTES, POSIX.disk)
    journal.close()  # writes fail from here on
    with pytest.raises(JournalFullError):
        accept(journal, "a")
    journal.record_completed("a")  # logged, not raised: it must not stop the relay


STEPS = st.lists(
    st.tuples(st.sampled_from(["in", "try", "not", "end", "over"]), st.integers(0, 5)), max_size=40
)


@settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(steps=STEPS, bodies=st.lists(st.binary(max_size=40), min_size=6, max_size=6), cut=st.integers(0, 60))
def test_any_history_is_recovered_up_to_its_torn_tail(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, int]], bodies: list[bytes], cut: int
) -> None:
    folder = tmp_path_factory.mktemp("journal")
    journal, path = Journal(folder, DISK_BYTES, POSIX.disk), folder / "journal"
    states: list[tuple[int, dict[str, tuple[bytes, int, object]]]] = [(0, {})]
    now: dict[str, tuple[bytes, int, object]] = {}
    for kind, number in steps:
        ref, body = f"m{number}", bodies[number]
        if (kind == "in") == (ref in now):
            continue
        if kind == "in":
            journal.accept(ref, {}, body)
            now[ref] = (body, 0, None)
        elif kind == "over":
            journal.record_completed(ref)
            del now[ref]
        else:
            _, attempts, notice = now[ref]
            if kind == "try":
                journal.record_attempts([(ref, Attempt(attempts, "h", "z", 1))])
                now[ref] = (body, attempts + 1, notice)
            elif kind == "end":
                journal.record_end(ref, "dead", 0)
                now[ref] = (body, attempts, ("dead", 0))
            else:
                journal.record_never_ran(ref, 0)
        states.append((path.stat().st_size, dict(now)))
    journal.close()
    end = max(0, path.stat().st_size - cut)
    path.write_bytes(path.read_bytes()[:end])
    want = [state for size, state in states if size <= end][-1]
    found = reopen(folder).recovered
    assert {ref: (m.body, len(m.attempts), m.notice) for ref, m in found.items()} == want


@pytest.mark.parametrize("seed", range(6))
def test_open_messages_always_have_space_and_completed_ones_free_it(in_memory: Path, seed: int) -> None:
    """At the limit of the budget only new messages are refused, never a record of an open one, and the log
    never stays full of garbage.
    """
    disk, rng = 120_000, random.Random(seed)
    journal, left = Journal(in_memory, disk, POSIX.disk), dict[str, int]()
    journal.max_attempts = 6
    taken = refused = 0
    for number in range(4000):
        ref = f"{number:016x}"
        try:
            accept(journal, ref, size=rng.randrange(600))
            left[ref] = 0
            taken += 1
        except JournalFullError:
            refused += 1
        for open_ref in rng.sample(sorted(left), min(len(left), rng.randrange(6))):
            if left[open_ref] < journal.max_attempts and rng.random() < 0.8:
                journal.record_attempts(
                    [(open_ref, Attempt(left[open_ref], "s-5be2a07c9", "floor-2", 1 << 50))]
                )
                journal.record_never_ran(open_ref, left[open_ref])
                left[open_ref] += 1
            elif rng.random() < 0.7:
                assert journal.record_end(open_ref, "bounced", 2000)
                journal.record_completed(open_ref)
                del left[open_ref]
        assert not journal.has_pending
        assert sum(size_in_blocks(path.stat().st_size) for path in in_memory.iterdir()) <= disk
    assert refused > 100 and taken > 500
    assert set(reopen(in_memory, disk).recovered) == set(left)
    for ref in left:
        journal.record_completed(ref)
    accept(journal, "again", size=600)


def test_space_for_later_records_is_reserved_once(tmp_path: Path) -> None:
    """Reserved twice, and for records already written, the space was enough for fewer than 800 messages."""
    journal, count = Journal(tmp_path, 3_000_000, POSIX.disk), 0
    journal.max_attempts = 6
    with pytest.raises(JournalFullError):
        while True:
            accept(journal, f"{count:016x}", size=12)
            count += 1
    assert count > 1800


class FaultyDisk(PosixDisk):
    """A disk that takes only a part of each write while it is full, and whose truncate may fail."""

    full, truncate_fails = False, False

    def write(self, fd: int, data: Any) -> int:
        return os.write(fd, memoryview(data)[:7] if self.full else data)

    def truncate(self, fd: int, size: int) -> None:
        if self.truncate_fails:
            raise OSError(5, "Input/output error")
        os.truncate(fd, size)


def test_result_replaced_by_a_failure_stays_one_after_a_restart(tmp_path: Path) -> None:
    """The disk was full when the result was decided: the record has to agree with the notice that was sent,
    whether or not the disk takes it later.
    """
    disk = FaultyDisk()
    journal = Journal(tmp_path, 100_000, disk)
    accept(journal, "a")
    accept(journal, "b")
    disk.full = True
    assert not journal.record_end("a", "bounced", 2000)
    assert not journal.record_end("b", "bounced", 2000)
    journal.replace_end_by_failure("a")
    disk.full = False
    journal.flush_pending()
    journal.replace_end_by_failure("b")  # its first record has been written meanwhile
    journal.close()
    again = Journal(tmp_path, 100_000, POSIX.disk)
    assert {ref: found.notice for ref, found in again.recovered.items()} == dict.fromkeys("ab", ("dead", 0))
    assert (tmp_path / "journal").read_bytes().count(b'"bounced"') == 1  # of b only: a's was replaced


def test_partial_record_that_cannot_be_truncated_stops_only_later_writes(tmp_path: Path) -> None:
    disk = FaultyDisk()
    journal = Journal(tmp_path, 100_000, disk)
    accept(journal, "a")
    disk.full = disk.truncate_fails = True
    assert not journal.record_end("a", "dead", 0)  # an OSError here once aborted a reload half way
    disk.full = False
    with pytest.raises(JournalFullError, match="partial record cannot be truncated"):
        accept(journal, "b")
    disk.truncate_fails = False
    accept(journal, "c")
    journal.close()
    again = Journal(tmp_path, 100_000, POSIX.disk)
    assert {ref: message.notice for ref, message in again.recovered.items()} == {"a": ("dead", 0), "c": None}


@pytest.mark.parametrize("kind", list(OutageRecordKind))
def test_outage_records_are_recovered(kind: OutageRecordKind, tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK_BYTES, POSIX.disk)
    due = StoredOutage(77_000_000, kind, 63)
    journal.record_outage("h1", due)
    journal.close()
    assert reopen(tmp_path).outages == {"h1": due}


def test_outage_records_leave_the_space_of_open_messages(in_memory: Path) -> None:
    """Outages of some hundred endpoints use it up: no attempt is written, nor anything when all has ended."""
    disk, rng = 400_000, random.Random(0)
    journal, left = Journal(in_memory, disk, POSIX.disk), dict[str, int]()
    journal.max_attempts = 6
    for number in range(3000):
        ref = f"{number:016x}"
        with contextlib.suppress(JournalFullError):
            journal.accept(ref, {"id": ref, "dest": 1, "deadline_us": 1 << 50}, bytes(rng.randrange(600)))
            left[ref] = 0
        if rng.random() < 0.5:
            journal.record_outage(f"s-{rng.randrange(400):08x}", StoredOutage(1 << 50))
        for open_ref in rng.sample(sorted(left), min(len(left), rng.randrange(4))):
            if left[open_ref] < journal.max_attempts and rng.random() < 0.8:
                attempt = Attempt(left[open_ref], "s-5be2a07c9", "floor-2", 1 << 50)
                journal.record_attempts([(open_ref, attempt)])
                left[open_ref] += 1
                journal.record_never_ran(open_ref, attempt.number)
            elif rng.random() < 0.6:
                assert journal.record_end(open_ref, "bounced", 2000)
                journal.record_completed(open_ref)
                del left[open_ref]
    for open_ref in left:
        assert journal.record_end(open_ref, "bounced", 2000)
        journal.record_completed(open_ref)
    accept(journal, "again")


def test_outage_records_of_older_versions_are_read(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK_BYTES, POSIX.disk)
    journal._append_or_queue(["care", "h1", 77])
    journal._append_or_queue(["care", "h2", 78, 1])
    journal.close()
    found = reopen(tmp_path).outages
    assert found == {
        "h1": StoredOutage(77, OutageRecordKind.OUTAGE),
        "h2": StoredOutage(78, OutageRecordKind.SUSPICION),
    }
