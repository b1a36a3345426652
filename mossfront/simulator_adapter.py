"""Adapter for the simulator: translates its text frames to events, and the engine's actions back.

It makes no decisions. One process hosts any number of relays, which share nothing but the parser.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import IO

from mossfront import interface as api
from mossfront.engine import DecisionEngine
from mossfront.settings import (
    BadLineError,
    Fields,
    bool_field,
    enum_field,
    float_field,
    int_field,
    list_field,
    parse_fields,
    parse_settings,
    required_field,
)

VERDICTS = {
    "OK": api.Verdict.OK,
    "INTERNAL": api.Verdict.ERROR,
    "RESOURCE_EXHAUSTED": api.Verdict.FULL,
    "DEADLINE_EXCEEDED": api.Verdict.TIMEOUT,
    "UNAVAILABLE": api.Verdict.CONNECT_FAILED,
    "ABORTED": api.Verdict.RESET,
    "CANCELLED": api.Verdict.CANCELLED,
    "TOO_LATE": api.Verdict.NOT_SENT,
}
UPDATE_KINDS = {
    "0": api.EndpointUpdateKind.CHANGES,
    "1": api.EndpointUpdateKind.FULL,
    "2": api.EndpointUpdateKind.CACHED,
    "3": api.EndpointUpdateKind.FAILED,
}
LISTINGS = {"0": api.Listing.GONE, "1": api.Listing.READY, "2": api.Listing.DRAINING}
MAX_TABLE_NUMBER = 15


def parse_entry(pairs: Fields) -> api.EndpointEntry:
    """Parse one line of an endpoint list."""
    return api.EndpointEntry(
        host=required_field(pairs, "host"),
        dest=int_field(pairs, "dest"),
        zone=pairs.get("campus", ""),
        kind=pairs.get("hw", ""),
        listing=enum_field(LISTINGS, pairs, "health"),
        rate_hint=float_field(pairs, "power_hint", 1.0),
    )


def parse_load_report(pairs: Fields) -> dict[str, float]:
    """Parse the values of a load report; unreadable values are omitted, as unknown."""
    report: dict[str, float] = {}
    for part in list_field(pairs, "pressure"):
        name, _, value = part.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return report


def parse_arrival(pairs: Fields) -> api.Arrival:
    """Parse a submitted message."""
    return api.Arrival(
        id=required_field(pairs, "xid"),
        dest=int_field(pairs, "terminates_at"),
        cls=required_field(pairs, "tier_class"),
        time_left_us=int_field(pairs, "grace_us"),
        tenant=pairs.get("account", ""),
        key=pairs.get("affinity", ""),
    )


def parse_outcome(pairs: Fields) -> api.Outcome:
    """Parse the outcome of an attempt; ``detail`` of a refusal is its Retry-After wait in milliseconds."""
    verdict, report = enum_field(VERDICTS, pairs, "verdict"), parse_load_report(pairs)
    wait_ms = int_field(pairs, "detail", 0) if verdict is api.Verdict.FULL else 0
    return api.Outcome(
        id=required_field(pairs, "xid"),
        attempt=int_field(pairs, "trial"),
        host=required_field(pairs, "host"),
        verdict=verdict,
        elapsed_us=int_field(pairs, "elapsed_us", 0),
        complete=bool_field(pairs, "complete"),
        retry_after_us=wait_ms * 1000,
        limit_remaining=report.get("x0"),
        limit_per_s=report.get("x1"),
    )


def parse_probe_result(pairs: Fields) -> api.ProbeResult:
    """Parse the result of a probe."""
    report = parse_load_report(pairs)
    return api.ProbeResult(
        host=required_field(pairs, "host"),
        verdict=enum_field(VERDICTS, pairs, "verdict"),
        elapsed_us=int_field(pairs, "elapsed_us", 0),
        limit_remaining=report.get("x0"),
        limit_per_s=report.get("x1"),
    )


def parse_timer(_pairs: Fields) -> api.TimerDue:
    """Parse an expired timer; its label is not needed."""
    return api.TimerDue()


def parse_withdrawal(pairs: Fields) -> api.MessageWithdrawn:
    """Parse the withdrawal of a message by its client."""
    return api.MessageWithdrawn(required_field(pairs, "xid"))


EVENT_PARSERS: dict[str, Callable[[Fields], api.Event]] = {
    "new_request": parse_arrival,
    "report_back": parse_outcome,
    "check_result": parse_probe_result,
    "tick_due": parse_timer,
    "aborted": parse_withdrawal,
}
IGNORED_EVENTS = ("established", "note_from")


def format_action(relay_id: str, action: api.Action) -> str:
    """Format one action as a line for the simulator."""
    match action:
        case api.Send(id=xid, host=host, timeout_us=limit):
            return f"try who={relay_id} xid={xid} host={host} limit_us={limit}"
        case api.Refuse(id=xid, retry_after_us=after):
            return f"bounce who={relay_id} xid={xid} hold_off_us={after}"
        case api.Fail(id=xid):
            return f"drop_request who={relay_id} xid={xid}"
        case api.Cancel(id=xid, attempt=attempt):
            return f"recall who={relay_id} xid={xid} trial={attempt}"
        case api.CloseIdle(host=host):
            return f"free_links who={relay_id} host={host}"
        case api.Probe(host=host):
            return f"test who={relay_id} host={host}"
        case api.Subscribe():
            return f"observe who={relay_id} active=1"
        case api.SetTimer(delay_us=delay):
            return f"sleep who={relay_id} wait_us={delay} label=wake"
        case api.Log(line=line):
            return f"log who={relay_id} line={line}"
        # A simulated endpoint list is small: no destination is ever reported idle here.
        case api.DestinationDeactivated(dest=dest):
            return f"log who={relay_id} line=destination {dest} deactivated"
        # Nothing is stored for the time after a restart here.
        case api.OutageRecord(host=host, valid_for_us=us):
            return f"log who={relay_id} line={host} may be down or cold for {us} us"


class SimulatorSession:
    """The session of one process: the relays that it hosts and the batch being read."""

    def __init__(self, lines: Iterator[str], output: IO[str]) -> None:
        """Read frames from ``lines`` and write replies to ``output``."""
        self._lines, self._output, self._line_number = lines, output, 0
        self._engines: dict[str, DecisionEngine] = {}
        self._tables: dict[int, tuple[api.EndpointEntry, ...]] = {}
        self._events: dict[str, list[api.Event]] = {}

    @property
    def line_number(self) -> int:
        """The number of the last line read."""
        return self._line_number

    def _read_line(self) -> str | None:
        """Return the next line without its line end, or None at the end of input."""
        line = next(self._lines, None)
        if line is None:
            return None
        self._line_number += 1
        return line.rstrip("\r\n")

    def _read_table(self, pairs: Fields) -> None:
        """Read a numbered endpoint list and the host lines that follow it."""
        ref, entries = int_field(pairs, "ref"), []
        if not 0 <= ref <= MAX_TABLE_NUMBER:
            raise BadLineError(f"ref out of range: {ref}")
        for _ in range(int_field(pairs, "hosts")):
            line = self._read_line()
            name, _, rest = (line or "").partition(" ")
            if name != "host":
                raise BadLineError("a host line is missing")
            entries.append(parse_entry(parse_fields(rest)))
        self._tables[ref] = tuple(entries)

    def _parse_endpoint_update(self, pairs: Fields) -> api.EndpointUpdate:
        """Parse an update of the endpoint list; the table that it names counts as of this line."""
        kind = enum_field(UPDATE_KINDS, pairs, "form")
        if kind is api.EndpointUpdateKind.FAILED:
            return api.EndpointUpdate(kind)
        ref = int_field(pairs, "ref", 0)
        if ref not in self._tables:
            raise BadLineError(f"no table {ref}")
        return api.EndpointUpdate(kind, self._tables[ref])

    def _start_relay(self, rest: str) -> str:
        """Start a relay without state; its settings are the rest of the line."""
        pairs = parse_fields(rest)
        relay_id, seed = required_field(pairs, "who"), int_field(pairs, "init_seed")
        try:
            self._engines[relay_id] = DecisionEngine(parse_settings(pairs), seed)
        except BadLineError:
            raise
        except ValueError as error:
            raise BadLineError(str(error)) from None
        self._events[relay_id] = []
        return relay_id

    def _read_event(self, line: str) -> None:
        """Read one line of a batch."""
        name, _, rest = line.partition(" ")
        if name == "init":
            self._start_relay(rest)
            return
        pairs = parse_fields(rest)
        if name == "table":
            self._read_table(pairs)
            return
        if name not in EVENT_PARSERS and name not in (*IGNORED_EVENTS, "roster_change", "shutdown"):
            raise BadLineError(f"unknown message: {name!r}")
        relay_id = required_field(pairs, "who")
        if name == "shutdown":
            self._engines.pop(relay_id, None)
            self._events.pop(relay_id, None)
            return
        batch = self._events.setdefault(relay_id, [])
        if name == "roster_change":
            batch.append(self._parse_endpoint_update(pairs))
        elif name in EVENT_PARSERS:
            batch.append(EVENT_PARSERS[name](pairs))

    def _process_batch(self, now_us: int) -> None:
        """Step every relay that had an event, in order of their first events, and write the replies."""
        lines: list[str] = []
        for relay_id, events in self._events.items():
            engine = self._engines.get(relay_id)
            if engine is None:
                continue
            try:
                lines += [format_action(relay_id, action) for action in engine.step(now_us, events)]
            except Exception as error:  # the simulator expects it as a reply
                text = " ".join(f"{type(error).__name__}: {error}".split())
                lines.append(f"die who={relay_id} line={text}")
        self._output.write("".join(f"{line}\n" for line in (*lines, "ok")))
        self._output.flush()

    def process_frame(self) -> bool:
        """Read one batch and answer it; return False at the end of input."""
        line = self._read_line()
        if line is None:
            return False
        if not line:
            return True
        name, _, rest = line.partition(" ")
        if name != "frame":
            raise BadLineError(f"expected a frame, got {name!r}")
        now_us = int_field(parse_fields(rest), "at_time_us")
        self._events = {}
        while (line := self._read_line()) != "commit":
            if line is None:
                raise BadLineError("frame without commit")
            self._read_event(line)
        self._process_batch(now_us)
        return True


def main() -> int:
    """Serve standard input until its end; return 2 after an unreadable line."""
    session = SimulatorSession(iter(sys.stdin), sys.stdout)
    try:
        while session.process_frame():
            pass
    except BadLineError as error:
        print(f"line {session.line_number}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
