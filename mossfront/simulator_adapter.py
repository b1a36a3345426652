"""Wire adapter: translates the bench's text frames to events and the module's actions back.

It decides nothing. One process hosts any number of relays, which share nothing but the parser.
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
    fields_of,
    flag,
    known,
    listed,
    need,
    real,
    settings_of,
    whole,
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
FORMS = {
    "0": api.EndpointUpdateKind.CHANGES,
    "1": api.EndpointUpdateKind.FULL,
    "2": api.EndpointUpdateKind.CACHED,
    "3": api.EndpointUpdateKind.FAILED,
}
LISTINGS = {"0": api.Listing.GONE, "1": api.Listing.READY, "2": api.Listing.DRAINING}
LAST_TABLE = 15


def entry_of(pairs: Fields) -> api.EndpointEntry:
    """One line of a host list."""
    return api.EndpointEntry(
        host=need(pairs, "host"),
        dest=whole(pairs, "dest"),
        zone=pairs.get("campus", ""),
        kind=pairs.get("hw", ""),
        listing=known(LISTINGS, pairs, "health"),
        rate_hint=real(pairs, "power_hint", 1.0),
    )


def reports_of(pairs: Fields) -> dict[str, float]:
    """The values of a load report; those that cannot be read are left out as unknown."""
    report: dict[str, float] = {}
    for part in listed(pairs, "pressure"):
        name, _, value = part.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return report


def arrival_of(pairs: Fields) -> api.Arrival:
    """A message handed in."""
    return api.Arrival(
        id=need(pairs, "xid"),
        dest=whole(pairs, "terminates_at"),
        cls=need(pairs, "tier_class"),
        time_left_us=whole(pairs, "grace_us"),
        tenant=pairs.get("account", ""),
        key=pairs.get("affinity", ""),
    )


def outcome_of(pairs: Fields) -> api.Outcome:
    """The end of an attempt; the note of a refusal is its wait in milliseconds."""
    verdict, report = known(VERDICTS, pairs, "verdict"), reports_of(pairs)
    wait_ms = whole(pairs, "detail", 0) if verdict is api.Verdict.FULL else 0
    return api.Outcome(
        id=need(pairs, "xid"),
        attempt=whole(pairs, "trial"),
        host=need(pairs, "host"),
        verdict=verdict,
        elapsed_us=whole(pairs, "elapsed_us", 0),
        complete=flag(pairs, "complete"),
        retry_after_us=wait_ms * 1000,
        limit_remaining=report.get("x0"),
        limit_per_s=report.get("x1"),
    )


def probe_result_of(pairs: Fields) -> api.ProbeResult:
    """The end of a probe."""
    report = reports_of(pairs)
    return api.ProbeResult(
        host=need(pairs, "host"),
        verdict=known(VERDICTS, pairs, "verdict"),
        elapsed_us=whole(pairs, "elapsed_us", 0),
        limit_left=report.get("x0"),
        limit_per_s=report.get("x1"),
    )


def timer_of(_pairs: Fields) -> api.TimerDue:
    """A wake-up; its label carries nothing."""
    return api.TimerDue()


def withdrawn_of(pairs: Fields) -> api.MessageWithdrawn:
    """A message that nobody wants any more."""
    return api.MessageWithdrawn(need(pairs, "xid"))


READERS: dict[str, Callable[[Fields], api.Event]] = {
    "new_request": arrival_of,
    "report_back": outcome_of,
    "check_result": probe_result_of,
    "tick_due": timer_of,
    "aborted": withdrawn_of,
}
UNUSED = ("established", "note_from")


def written(who: str, action: api.Action) -> str:
    """One action as a line of the wire."""
    match action:
        case api.Send(id=xid, host=host, timeout_us=limit):
            return f"try who={who} xid={xid} host={host} limit_us={limit}"
        case api.Refuse(id=xid, retry_after_us=after):
            return f"bounce who={who} xid={xid} hold_off_us={after}"
        case api.Fail(id=xid):
            return f"drop_request who={who} xid={xid}"
        case api.Cancel(id=xid, attempt=attempt):
            return f"recall who={who} xid={xid} trial={attempt}"
        case api.CloseIdle(host=host):
            return f"free_links who={who} host={host}"
        case api.Probe(host=host):
            return f"test who={who} host={host}"
        case api.Subscribe():
            return f"observe who={who} active=1"
        case api.SetTimer(delay_us=delay):
            return f"sleep who={who} wait_us={delay} label=wake"
        case api.Log(line=line):
            return f"log who={who} line={line}"
        case api.DestinationDeactivated(
            dest=dest
        ):  # a simulated list is small: no destination is ever called idle here
            return f"log who={who} line=destination {dest} sleeps"
        case api.OutageRecord(host=host, valid_for_us=us):  # nothing outlasts an instance here
            return f"log who={who} line={host} needs care for {us} us"


class Wire:
    """One process's conversation: the relays it hosts and the batch being read."""

    def __init__(self, lines: Iterator[str], out: IO[str]) -> None:
        """Read frames from ``lines`` and write replies to ``out``."""
        self._lines, self._out, self._number = lines, out, 0
        self._relays: dict[str, DecisionEngine] = {}
        self._tables: dict[int, tuple[api.EndpointEntry, ...]] = {}
        self._events: dict[str, list[api.Event]] = {}

    @property
    def number(self) -> int:
        """The number of the line read last."""
        return self._number

    def _next(self) -> str | None:
        """The next line without its end, or None at the end of input."""
        line = next(self._lines, None)
        if line is None:
            return None
        self._number += 1
        return line.rstrip("\r\n")

    def _table(self, pairs: Fields) -> None:
        """Read a numbered host list and the lines that belong to it."""
        ref, entries = whole(pairs, "ref"), []
        if not 0 <= ref <= LAST_TABLE:
            raise BadLineError(f"ref out of range: {ref}")
        for _ in range(whole(pairs, "hosts")):
            line = self._next()
            name, _, rest = (line or "").partition(" ")
            if name != "host":
                raise BadLineError("a host line is missing")
            entries.append(entry_of(fields_of(rest)))
        self._tables[ref] = tuple(entries)

    def _roster(self, pairs: Fields) -> api.EndpointUpdate:
        """News of the list, with the table it names as it stands at this line."""
        kind = known(FORMS, pairs, "form")
        if kind is api.EndpointUpdateKind.FAILED:
            return api.EndpointUpdate(kind)
        ref = whole(pairs, "ref", 0)
        if ref not in self._tables:
            raise BadLineError(f"no table {ref}")
        return api.EndpointUpdate(kind, self._tables[ref])

    def _init(self, rest: str) -> str:
        """Start a relay afresh; its settings fill the rest of the line."""
        pairs = fields_of(rest)
        who, seed = need(pairs, "who"), whole(pairs, "init_seed")
        try:
            self._relays[who] = DecisionEngine(settings_of(pairs), seed)
        except BadLineError:
            raise
        except ValueError as error:
            raise BadLineError(str(error)) from None
        self._events[who] = []
        return who

    def _event(self, line: str) -> None:
        """Take in one line of a batch."""
        name, _, rest = line.partition(" ")
        if name == "init":
            self._init(rest)
            return
        pairs = fields_of(rest)
        if name == "table":
            self._table(pairs)
            return
        if name not in READERS and name not in (*UNUSED, "roster_change", "shutdown"):
            raise BadLineError(f"unknown message: {name!r}")
        who = need(pairs, "who")
        if name == "shutdown":
            self._relays.pop(who, None)
            self._events.pop(who, None)
            return
        batch = self._events.setdefault(who, [])
        if name == "roster_change":
            batch.append(self._roster(pairs))
        elif name in READERS:
            batch.append(READERS[name](pairs))

    def _reply(self, now_us: int) -> None:
        """Let every relay that had an event act, in order of their first events."""
        lines: list[str] = []
        for who, events in self._events.items():
            relay = self._relays.get(who)
            if relay is None:
                continue
            try:
                lines += [written(who, action) for action in relay.step(now_us, events)]
            except Exception as error:  # the wire wants it told
                text = " ".join(f"{type(error).__name__}: {error}".split())
                lines.append(f"die who={who} line={text}")
        self._out.write("".join(f"{line}\n" for line in (*lines, "ok")))
        self._out.flush()

    def frame(self) -> bool:
        """Read one batch and answer it; False at the end of input."""
        line = self._next()
        if line is None:
            return False
        if not line:
            return True
        name, _, rest = line.partition(" ")
        if name != "frame":
            raise BadLineError(f"expected a frame, got {name!r}")
        now_us = whole(fields_of(rest), "at_time_us")
        self._events = {}
        while (line := self._next()) != "commit":
            if line is None:
                raise BadLineError("frame without commit")
            self._event(line)
        self._reply(now_us)
        return True


def main() -> int:
    """Serve standard input until its end; 2 after a line that cannot be read."""
    wire = Wire(iter(sys.stdin), sys.stdout)
    try:
        while wire.frame():
            pass
    except BadLineError as error:
        print(f"line {wire.number}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
