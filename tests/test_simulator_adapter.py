"""The simulator adapter, run as a subprocess on real frames."""

from __future__ import annotations

import subprocess
import sys

import pytest

SETTINGS = (
    "allowed.cancel=true allowed.may_duplicate=false allowed.most_tries=4 allowed.open_cap=40 "
    "allowed.probes=false allowed.retry_after=true allowed.max_retry_after_us=2000000 "
    "clients.marks_retry=false "
    "discovery=push domain.batch_by_kind=1 domain.calls_out=4 domain.decay=line domain.kind_apart=false "
    "group_size=2 machine_types=shops request_classes.count=1 request_classes.0.aim_us=1000000 "
    "request_classes.0.deadline_us=5000000 request_classes.0.effect=safe request_classes.0.name=note "
    "request_classes.0.worth=1.0 request_classes.0.late_worth=0.5 round_us=5000 rules.cold_from=0.2 "
    "rules.drain_grace_us=500000 rules.fall_multiple=2.0 rules.fall_us=2000000 rules.warm_within_us=9000000 "
    "rules.grace_to_answer_us=20000 weights=off zones=a never_heard_of=1"
)
TABLE = (
    "table ref=0 hosts=1\nhost host=10.0.0.1:80 campus=a hw=shops dest=7 health=1 power_hint=1 new_field=x"
)


def init_lines(relay_id: int) -> str:
    """Return the lines that start one relay with its cached endpoint list."""
    return (
        f"init who={relay_id} init_seed=5 {SETTINGS}\n{TABLE}\n"
        f"roster_change who={relay_id} form=2 gen=1 ref=0"
    )


def frame_text(now_us: int, *lines: str) -> str:
    """Return one batch as text."""
    return "\n".join([f"frame at_time_us={now_us}", *lines, "commit", ""])


def request_line(relay_id: int, number: int) -> str:
    """Return the line of one message for the only destination."""
    return f"new_request who={relay_id} xid={number:016x} grace_us=5000000 terminates_at=7 tier_class=note"


def run_adapter(text: str) -> subprocess.CompletedProcess[str]:
    """Run the adapter on a whole conversation."""
    return subprocess.run(
        [sys.executable, "-m", "mossfront.simulator_adapter"],
        input=text,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


def test_conversation() -> None:
    host = "host=10.0.0.1:80"
    done = run_adapter(
        frame_text(1000)
        + frame_text(6000, init_lines(3), request_line(3, 1))
        + frame_text(
            90_000, f"report_back who=3 xid={1:016x} trial=0 {host} verdict=OK elapsed_us=84000 complete=1"
        )
        + frame_text(95_000, f"aborted who=3 xid={1:016x}", "note_from who=3 author=1 msg=00")
    )
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines()
    assert lines[0] == "ok"
    assert lines[1].startswith(f"try who=3 xid={1:016x} {host} limit_us=")
    assert lines[2].startswith("sleep who=3 wait_us=")
    assert lines.count("ok") == 4


def test_restart_within_batch_starts_without_state() -> None:
    done = run_adapter(
        frame_text(1000, init_lines(1), request_line(1, 1))
        + frame_text(6000, request_line(1, 2), "shutdown who=1", init_lines(1))
    )
    assert done.returncode == 0, done.stderr
    second = done.stdout.split("ok\n")[1]
    assert "try" not in second


def test_reused_table_number_is_read_in_event_order() -> None:
    other = TABLE.replace("10.0.0.1", "10.0.0.9")
    done = run_adapter(
        frame_text(
            1000,
            init_lines(1),
            other,
            init_lines(2).split("\n", 1)[0],
            "roster_change who=2 form=2 gen=1 ref=0",
            request_line(1, 1),
            request_line(2, 2),
        )
    )
    assert f"try who=1 xid={1:016x} host=10.0.0.1:80" in done.stdout
    assert f"try who=2 xid={2:016x} host=10.0.0.9:80" in done.stdout


def test_relays_do_not_affect_each_other_in_one_process() -> None:
    def lines_of(text: str, relay_id: int) -> list[str]:
        return [line for line in run_adapter(text).stdout.splitlines() if f"who={relay_id} " in line]

    def conversation(*relay_ids: int) -> str:
        batches = [frame_text(1000, *(init_lines(relay_id) for relay_id in relay_ids))]
        batches += [
            frame_text(
                1000 + 5000 * n, *(request_line(relay_id, 100 * relay_id + n) for relay_id in relay_ids)
            )
            for n in range(1, 9)
        ]
        return "".join(batches)

    for relay_id in (1, 2, 3):
        assert lines_of(conversation(1, 2, 3), relay_id) == lines_of(conversation(relay_id), relay_id) != []


@pytest.mark.parametrize(
    ("malformed", "expected_error"),
    [
        ("frame at_time_us=1\nnonsense who=1\ncommit\n", "unknown message"),
        ("frame\ncommit\n", "missing at_time_us"),
        ("frame at_time_us=1\n", "without commit"),
        ("hello\n", "expected a frame"),
        ("frame at_time_us=1\nhost host=a dest=1 health=1\ncommit\n", "unknown message"),
        ("frame at_time_us=1\ntable ref=0 hosts=2\nhost host=a dest=1 health=1\ncommit\n", "host line"),
        ("frame at_time_us=1\ntable ref=99 hosts=0\ncommit\n", "out of range"),
        ("frame at_time_us=1\ninit who=1 init_seed=x\ncommit\n", "unreadable init_seed"),
        (frame_text(1, init_lines(1).replace("domain.calls_out=4", "domain.calls_out=0")), "max_calls"),
        (frame_text(1, init_lines(1).replace("effect=safe", "effect=odd")), "effect"),
        (frame_text(1, init_lines(1).replace("batch_by_kind=1", "batch_by_kind=x")), "batch_by_kind"),
        (
            frame_text(1, init_lines(1), request_line(1, 1).replace("grace_us=5000000", "grace_us=soon")),
            "unreadable grace_us",
        ),
        (
            frame_text(1, init_lines(1), "report_back who=1 xid=1 trial=0 host=a verdict=ODD"),
            "unknown verdict",
        ),
    ],
)
def test_malformed_line_exits_with_one_line_error(malformed: str, expected_error: str) -> None:
    done = run_adapter(frame_text(0) + malformed)
    assert (done.returncode, done.stdout) == (2, "ok\n")
    assert expected_error in done.stderr and "Traceback" not in done.stderr
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("line ")


def test_empty_input_exits_cleanly() -> None:
    done = run_adapter("")
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")
