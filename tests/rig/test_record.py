"""Record files: errors name file and line, truncation is detected, and events are ordered by one clock."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.rules import judge
from tests.rig.story import MS, Story
from tests.world import ROOT


def written(path: Path, story: Story, end: bool = True) -> Path:
    """Write a story to a file."""
    writer = rec.RecordWriter(path, lambda _at: story.head)
    for event in story.record(whole=False).events:
        writer.add(event)
    if end:
        writer.close()
    else:
        writer._file.close()
    return path


@pytest.fixture
def story() -> Story:
    """Two messages, delivered."""
    return Story().ask(0, "m1").call(5, "m1").ask(10, "m2").call(20, "m2")


def test_a_record_is_read_as_it_was_written(tmp_path: Path, story: Story) -> None:
    record = rec.read(written(tmp_path / "r", story))
    assert record.whole
    assert record.head == story.head
    assert record.events[:-1] == story.record(whole=False).events
    assert judge(record).state == "kept"


@pytest.mark.parametrize("cut", [1, 3, 40])
def test_a_truncated_record_is_unknown(tmp_path: Path, story: Story, cut: int) -> None:
    path = written(tmp_path / "r", story)
    path.write_bytes(path.read_bytes()[:-cut])
    record = rec.read(path)
    assert not record.whole
    assert judge(record).state == "unknown"


def test_a_record_of_a_killed_rig_is_unknown(tmp_path: Path, story: Story) -> None:
    record = rec.read(written(tmp_path / "r", story, end=False))
    assert judge(record).state == "unknown"


@given(st.integers(0, 10_000))
def test_a_record_truncated_anywhere_is_never_kept(tmp_path_factory: pytest.TempPathFactory, at: int) -> None:
    path = tmp_path_factory.getbasetemp() / "cut"
    data = written(path, Story().ask(0, "m1").call(5, "m1")).read_bytes()
    path.write_bytes(data[: at % (len(data) - 1)])
    try:
        record = rec.read(path)
    except rec.RecordError:
        return
    assert judge(record).state == "unknown"


@pytest.mark.parametrize(
    ("number", "line", "reason"),
    [
        (3, b"{nonsense", "malformed"),
        (3, b'{"e":"nothing","at":1}', "Invalid value 'nothing'"),
        (3, b'{"e":"told","at":"soon"}', "Expected `int`"),
        (3, b'{"e":"told","at":1,"relay":"n0","host":"a1","state":"asleep"}', "Invalid enum value 'asleep'"),
        (3, b'{"e":"mark","at":1,"what":"x","colour":1}', "unknown field `colour`"),
        (3, b"\xff\xfe", "malformed"),
        (1, b'{"e":"mark","at":1,"what":"x"}', "the first line is not a head"),
    ],
)
def test_an_invalid_line_is_reported_with_its_number(
    tmp_path: Path, story: Story, number: int, line: bytes, reason: str
) -> None:
    path = written(tmp_path / "r", story)
    lines = path.read_bytes().split(b"\n")
    lines[number - 1] = line
    path.write_bytes(b"\n".join(lines))
    with pytest.raises(rec.RecordError) as caught:
        rec.read(path)
    assert f"{path}:{number}: " in str(caught.value)
    assert reason.lower() in str(caught.value).lower()


def test_a_missing_line_is_detected(tmp_path: Path, story: Story) -> None:
    path = written(tmp_path / "r", story)
    lines = path.read_bytes().split(b"\n")
    path.write_bytes(b"\n".join(lines[:4] + lines[5:]))
    with pytest.raises(rec.RecordError, match="events, but"):
        rec.read(path)


def test_data_after_the_end_and_other_versions_are_rejected(tmp_path: Path, story: Story) -> None:
    path = written(tmp_path / "r", story)
    data = path.read_bytes()
    path.write_bytes(data + b'{"e":"mark","at":1,"what":"x"}\n')
    with pytest.raises(rec.RecordError, match="data after the end"):
        rec.read(path)
    path.write_bytes(data.replace(b'"version":1', b'"version":9', 1))
    with pytest.raises(rec.RecordError, match="version 9"):
        rec.read(path)
    path.write_bytes(b"")
    with pytest.raises(rec.RecordError, match="empty"):
        rec.read(path)
    with pytest.raises(rec.RecordError, match="cannot be read"):
        rec.read(tmp_path / "nothing")


def test_check_exits_with_2_and_one_message(tmp_path: Path) -> None:
    path = tmp_path / "r"
    path.write_bytes(b"nonsense\n")
    command = [sys.executable, "-m", "mallowlug", "rig", "check", str(path)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert (done.returncode, done.stdout) == (2, "")
    assert done.stderr.startswith(f"{path}:1: ")
    assert len(done.stderr.splitlines()) == 1


def test_events_of_several_processes_are_ordered_by_one_clock() -> None:
    """Each process reads the machine's clock, so times of a parent and a child can be compared."""
    before = rec.now_us()
    command = [sys.executable, "-c", "from mallowlug.rig.judge.record import now_us; print(now_us())"]
    child = int(subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout)
    after = rec.now_us()
    assert before < child < after
    parent = [rec.Annotation(before, "before"), rec.Annotation(after, "after")]
    assert [e.at for e in rec.merge_events(parent, [rec.Annotation(child, "child")])] == [
        before,
        child,
        after,
    ]


def test_events_at_one_time_keep_the_order_of_their_lines(tmp_path: Path) -> None:
    story = Story().add(*(rec.Annotation(7 * MS, f"{number}") for number in range(20)))
    events = rec.read(written(tmp_path / "r", story)).events
    marks = [event.what for event in events if isinstance(event, rec.Annotation)]
    assert marks == [f"{number}" for number in range(20)]
