"""HTTP calls to hosts: connection reuse, batches, timeouts, and the verdict that each response proves.

Every part of a call is settled exactly once. Whether the last byte of a request was handed to the kernel
decides between "never ran" and "in doubt", so a request is never written twice.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from mallowlug.core.model import Call, EndpointList, Part, PartOutcome, ResolvedEndpoint
from mallowlug.core.ports import PartReleased, PartSettled
from mallowlug.core.reasons import Event, HostClose, Reasons
from mallowlug.net.attribution import Pending, ReusePolicy, UnsolicitedDataError
from mallowlug.net.http import CONNECTION_ERRORS, Connection, Headers
from mallowlug.net.responses import CorruptResponseError
from mallowlug.partners.pool import ConnectionPool, PoolLimits
from mallowlug.partners.verdicts import (
    MAX_RETRY_AFTER_MS,
    STATUS_DELIVERED,
    parse_batch_results,
    parse_load_report,
    parse_retry_after_us,
    part_outcome,
)
from mallowlug.system import System
from mossfront.interface import Kind, Listing, Verdict

LOG = logging.getLogger(__name__)
SINGLE_TARGET, BATCH_TARGET = "/hook", "/hook/batch"
MAX_BODY_BYTES = 64 * 1024  # of a response
UNKNOWN_KIND = Kind("")  # of a host whose kind the settings do not name


@dataclass(slots=True, eq=False)
class Exchange:
    """A call in progress: its connection, what was sent, and its timers."""

    call: Call
    connection: Connection | None = None
    task: asyncio.Task[None] | None = None
    sent_parts: list[Part] = field(default_factory=list)  # in the request; some may be settled before its end
    end_s: float = 0.0  # loop time at which the call ends for all of its parts
    timer: asyncio.TimerHandle | None = None
    # Of parts with a shorter limit than the call.
    part_timers: dict[Part, asyncio.TimerHandle] = field(default_factory=dict)
    timed_out: bool = False  # the call reached ``end_s``
    # Parts that were settled while the call continued for others.
    parts_to_release: list[Part] = field(default_factory=list)

    @property
    def written(self) -> bool:
        """Whether the last byte was sent, after which the host may have processed the request."""
        return self.connection is not None and self.connection.write_started and self.connection.unsent == 0

    @property
    def response_started(self) -> bool:
        """Whether the host has started to respond."""
        return self.connection is not None and self.connection.response_started


@dataclass(frozen=True, slots=True)
class LastAnswer:
    """The last call that was answered on a connection: its first message, its number there, and when."""

    message_id: str
    attempt: int
    calls: int
    at_s: float


def build_request(connection: Connection, parts: list[Part], remaining_s: float) -> bytes:
    """Build the request for one message or a batch; ``remaining_s`` is how long the relay will wait."""
    remaining = ("X-Remaining", f"{max(1, int(remaining_s * 1000))}m")
    if len(parts) == 1:
        headers: Headers = [("X-Txn", parts[0].id), remaining]
        if parts[0].key:
            headers.append(("Idempotency-Key", parts[0].key))
        return connection.request("POST", SINGLE_TARGET, headers, parts[0].body)
    frames = [
        b"%s %s %d\r\n%s\r\n" % (p.id.encode(), (p.key or "-").encode(), len(p.body), p.body) for p in parts
    ]
    return connection.request("POST", BATCH_TARGET, [remaining], b"".join(frames))


class HttpPartners:
    """Sends calls to the listed hosts and keeps connections open between calls."""

    def __init__(
        self,
        kinds: Iterable[Kind],
        connect_timeout_us: int,
        limits: PoolLimits,
        *,
        settled: PartSettled,
        released: PartReleased,
        system: System,
        reasons: Reasons | None = None,
        reuse_policy: ReusePolicy | None = None,
    ) -> None:
        self._now_s, self._system = asyncio.get_running_loop().time, system
        self._kinds = {kind.name: kind for kind in kinds}
        self._connect_timeout_s, self._reasons = connect_timeout_us / 1e6, reasons or Reasons()
        self._on_settled, self._on_released = settled, released
        self.pool = ConnectionPool(limits, self._close, reuse_policy or ReusePolicy())
        self._listed: dict[str, ResolvedEndpoint] = {}
        self._waits: dict[str, float] = {}  # by route: loop time until which no call may be sent
        self._last_answers: dict[Connection, LastAnswer] = {}
        self.messages_written = 0
        self._disabled: set[str] = set()  # by an operator, whether listed or not
        self.exchanges: dict[Exchange, None] = {}  # a dict keeps the order for close()

    def apply(self, news: EndpointList) -> None:
        """Apply a list at once: no request is written any more to hosts that drain or are gone."""
        now_s = self._now_s()  # hosts are replaced all day: expired waits are removed
        self._waits = {route: until_s for route, until_s in self._waits.items() if until_s > now_s}
        if news.full:
            removed = self._listed.keys() - {listed.entry.host for listed in news.hosts}
            for host in removed:
                del self._listed[host]
                self.close_idle(host, HostClose.NO_MORE_CALLS)
        for listed in news.hosts:
            host = listed.entry.host
            previous = self._listed.get(host)
            if listed.entry.listing is Listing.GONE:
                self._listed.pop(host, None)
            else:
                self._listed[host] = listed
            if listed.entry.listing is not Listing.READY or (previous and previous.address != listed.address):
                self.close_idle(host, HostClose.NO_MORE_CALLS)

    def set_kinds(self, kinds: Iterable[Kind]) -> None:
        """Replace the endpoint kinds."""
        self._kinds = {kind.name: kind for kind in kinds}

    def set_disabled(self, host: str, disabled: bool) -> None:
        """Disable or enable a host for an operator; its idle connections would not reach a new process."""
        (self._disabled.add if disabled else self._disabled.discard)(host)
        self.close_idle(host, HostClose.NO_MORE_CALLS)

    def _may_call(self, host: str) -> bool:
        """Whether the host is listed as ready and not disabled by an operator."""
        listed = self._listed.get(host)
        return listed is not None and listed.entry.listing is Listing.READY and host not in self._disabled

    def zone_of(self, host: str) -> str:
        """Return the zone of a host; empty if it is not listed."""
        return self._listed[host].entry.zone if host in self._listed else ""

    def _route(self, host: str) -> str:
        """Return the key under which a host's waits apply: its destination, or itself for separate routes."""
        listed = self._listed.get(host)
        if listed is None:
            return host
        kind = self._kinds.get(listed.entry.kind, UNKNOWN_KIND)
        return host if kind.separate_routes else f"dest {listed.entry.dest}"

    def batch_size(self, host: str) -> int:
        """Return how many messages a call to the host may carry."""
        listed = self._listed.get(host)
        return 1 if listed is None else self._kinds.get(listed.entry.kind, UNKNOWN_KIND).batch_size

    def remaining_waits(self) -> dict[str, int]:
        """Return the remaining Retry-After wait in microseconds, by route."""
        left = {route: int((until_s - self._now_s()) * 1e6) for route, until_s in self._waits.items()}
        return {route: left_us for route, left_us in left.items() if left_us > 0}

    def restore_waits(self, waits: dict[str, int]) -> None:
        """Apply Retry-After waits that a previous process received."""
        now_s = self._now_s()
        for route, left_us in waits.items():
            until_s = now_s + min(left_us, MAX_RETRY_AFTER_MS * 1000) / 1e6
            self._waits[route] = max(self._waits.get(route, 0.0), until_s)

    def wait_left_us(self, host: str) -> int:
        """Return the remaining Retry-After wait for the host in microseconds."""
        return max(0, int((self._waits.get(self._route(host), 0.0) - self._now_s()) * 1e6))

    def blocking_outcome(self, host: str) -> PartOutcome | None:
        """Return the outcome for a call that must not be written now, else None.

        The list or a wait may have changed since the call was decided.
        """
        wait_us = self.wait_left_us(host)
        if wait_us or not self._may_call(host):
            return PartOutcome(Verdict.NOT_SENT, retry_after_us=wait_us)
        return None

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return bool(self.exchanges)

    def send(self, call: Call) -> Exchange:
        """Start a call; it ends at the longest time limit of its parts, and each part at its own at latest.

        Parts with the longest limit are settled together, after the call has ended. With a timer each, set
        microseconds apart, one part could be repeated while the call that carries it is still open.
        """
        loop, exchange = asyncio.get_running_loop(), Exchange(call)
        self.exchanges[exchange] = None
        start_s, longest_us = call.sent_s, 0
        for part in call.parts:
            longest_us = max(longest_us, part.timeout_us)
        exchange.end_s = start_s + longest_us / 1e6
        exchange.timer = loop.call_at(exchange.end_s, self._end_at_time_limit, exchange)
        for part in call.parts:
            if part.timeout_us < longest_us:
                part_end_s = start_s + part.timeout_us / 1e6
                exchange.part_timers[part] = loop.call_at(
                    part_end_s, self._stop_part, exchange, part, Verdict.TIMEOUT
                )
        exchange.task = loop.create_task(self._run(exchange))
        return exchange

    def _end_at_time_limit(self, exchange: Exchange) -> None:
        """End a call at its time limit; its connection is closed before any of its parts is settled.

        A response that is in the kernel but not read yet is ignored, too: it may have arrived after the
        time limit of the call's messages, and then it delivers none of them.
        """
        exchange.timed_out = True
        if exchange.task is not None:
            exchange.task.cancel()

    def cancel(self, message_id: str, attempt: int) -> None:
        """Cancel one attempt of a message."""
        for exchange in list(self.exchanges):
            for part in exchange.call.open:
                if (part.id, part.attempt) == (message_id, attempt):
                    self._stop_part(exchange, part, Verdict.CANCELLED)

    def close_idle(self, host: str, reason: HostClose = HostClose.POLICY) -> None:
        """Close the idle connections to a host."""
        self.pool.close_host(host, reason)

    def close(self) -> None:
        """Abort all calls and settle nothing: attempts in progress stay in the journal as they are."""
        for exchange in list(self.exchanges):
            for part in exchange.call.open:
                self._settle(exchange, part, None)
            if exchange.task is not None:
                exchange.task.cancel()
        self.pool.close_all(HostClose.SHUTTING_DOWN)

    def _settle(self, exchange: Exchange, part: Part, outcome: PartOutcome | None) -> None:
        part.settled = True
        if part in exchange.part_timers:
            exchange.part_timers.pop(part).cancel()
        if outcome is not None:
            if LOG.isEnabledFor(logging.DEBUG):
                self._log_outcome(exchange, part, outcome)
            self._on_settled(exchange.call, part, outcome)

    @staticmethod
    def _log_outcome(exchange: Exchange, part: Part, outcome: PartOutcome) -> None:
        """Log an attempt's outcome with the connection that it came on (0: none was open)."""
        host, number = exchange.call.host, exchange.connection.number if exchange.connection else 0
        LOG.debug(
            "hosts: %s connection %d: message %s attempt %d: %s",
            host, number, part.id, part.attempt, outcome.verdict.value,
            extra={"host": host, "message_id": part.id},
        )  # fmt: skip

    def _stop_part(self, exchange: Exchange, part: Part, verdict: Verdict) -> None:
        """Settle one part before its response; the last one also ends the call and closes the connection."""
        if part.settled:
            return
        connection = exchange.connection
        if verdict is Verdict.TIMEOUT and exchange.response_started:
            verdict = Verdict.ERROR  # the host responds, if incompletely: it is not lost
        is_last = len(exchange.call.open) == 1
        write_started = connection is not None and connection.write_started
        # A call that continues for other parts may still send its remaining bytes.
        in_doubt = exchange.written if is_last else write_started
        call_continues = write_started and not is_last
        outcome = PartOutcome(verdict if in_doubt else Verdict.CONNECT_FAILED, call_continues=call_continues)
        if call_continues:
            exchange.parts_to_release.append(part)
        self._settle(exchange, part, self._delivered_by_status_line(exchange) or outcome)
        if is_last and exchange.task is not None:
            exchange.task.cancel()

    async def _run(self, exchange: Exchange) -> None:
        """Run a call; on every exit all open parts are settled, and the connection is kept or closed."""
        outcome, keep_connection, host = PartOutcome(Verdict.RESET), False, exchange.call.host
        reason = HostClose.FAILED
        try:
            keep_connection = await self._perform(exchange)
            reason = HostClose.NOT_KEPT
        except UnsolicitedDataError:
            reason = HostClose.UNSOLICITED
        except CorruptResponseError as error:  # no RESET verdict: the connection held, and the host responded
            LOG.debug("hosts: %s: corrupt response: %s", host, str(error)[:80], extra={"host": host})
            outcome = PartOutcome(Verdict.ERROR)
        except (*CONNECTION_ERRORS, TimeoutError) as error:
            LOG.debug("hosts: %s: %r", host, error, extra={"host": host})
        except Exception:
            LOG.exception("hosts: unexpected error in a call to %s", host, extra={"host": host})
        finally:
            if not exchange.written:
                outcome = PartOutcome(Verdict.CONNECT_FAILED)
            elif exchange.timed_out:  # a host that responds, if incompletely, is not lost
                outcome = PartOutcome(Verdict.ERROR if exchange.response_started else Verdict.TIMEOUT)
            if exchange.timer is not None:
                exchange.timer.cancel()
            if exchange.connection is not None and not keep_connection:
                unsolicited = reason is HostClose.NOT_KEPT and exchange.connection.pending() is Pending.DATA
                self._close(host, exchange.connection, HostClose.UNSOLICITED if unsolicited else reason)
            self.exchanges.pop(exchange, None)
            for part in exchange.call.open:
                self._settle(exchange, part, self._delivered_by_status_line(exchange) or outcome)
            for part in exchange.parts_to_release:
                self._on_released(part)

    @staticmethod
    def _delivered_by_status_line(exchange: Exchange) -> PartOutcome | None:
        """Return the delivered outcome if the call carries one message and its status line says 200.

        The status line holds even if the rest of the response is corrupt or missing.
        """
        connection = exchange.connection
        if len(exchange.sent_parts) == 1 and exchange.written and connection and connection.status_is_200:
            return PartOutcome(Verdict.OK, complete=True)
        return None

    async def _perform(self, exchange: Exchange) -> bool:
        """Connect, send the request, read the response; return whether the connection was kept for reuse."""
        host = exchange.call.host
        connection = self.pool.take(host) or await self._open(host)
        exchange.connection = connection
        # While connecting, a Retry-After wait or a drain may have been received; it applies to this write.
        blocked, parts = self.blocking_outcome(host), exchange.call.open
        if (
            len(parts) > 1
        ):  # longest limit first: a reader that takes the call's time from one part takes that
            parts.sort(key=lambda part: -part.timeout_us)
        if blocked is not None:
            for part in parts:
                self._settle(exchange, part, blocked)
            return self._may_call(host) and self.pool.keep(host, connection)
        for part in list(parts):  # a part's deduplication window may have passed, too
            if part.start_within_us and self._now_s() > exchange.call.sent_s + part.start_within_us / 1e6:
                self._settle(exchange, part, PartOutcome(Verdict.NOT_SENT))
                parts.remove(part)
        if not parts:
            return self._may_call(host) and self.pool.keep(host, connection)
        exchange.sent_parts = parts
        await connection.send(build_request(connection, parts, exchange.end_s - self._now_s()))
        self.messages_written += len(parts)
        response = await connection.read_head()
        wait_us, report = parse_retry_after_us(response), parse_load_report(response)
        if wait_us:
            route = self._route(host)
            until_s = self._now_s() + wait_us / 1e6
            self._waits[route] = max(self._waits.get(route, 0.0), until_s)
        if response.status == STATUS_DELIVERED and len(parts) == 1:
            self._settle_from_response(exchange, parts[0], PartOutcome(Verdict.OK, True, wait_us, report))
            parts = []
        # Any other response counts only when complete: a status that means "never ran" proves nothing if the
        # body shows that the response is corrupt, since the request may have run.
        body = await connection.read_body(MAX_BODY_BYTES)
        previous = self._last_answers.get(connection)
        first, calls = exchange.sent_parts[0], previous.calls + 1 if previous else 1
        self._last_answers[connection] = LastAnswer(first.id, first.attempt, calls, self._now_s())
        batch_results = (
            parse_batch_results(body, parts) if response.status == STATUS_DELIVERED and parts else {}
        )
        for part in parts:
            self._settle_from_response(
                exchange, part, part_outcome(response, batch_results.get(part.id), wait_us, report)
            )
        return self._may_call(host) and self.pool.keep(host, connection)

    def _settle_from_response(self, exchange: Exchange, part: Part, outcome: PartOutcome) -> None:
        """Settle a part; one that was settled by its own time limit is updated only by a final outcome."""
        if not part.settled or outcome.complete:
            self._settle(exchange, part, outcome)

    async def _open(self, host: str) -> Connection:
        listed = self._listed.get(host)
        if listed is None:
            raise ConnectionError("no longer listed")
        self.pool.make_room(len(self.exchanges))
        async with asyncio.timeout(self._connect_timeout_s):
            return await Connection.open(listed.address, self._system)

    def _close(self, host: str, connection: Connection, reason: HostClose) -> None:
        self._reasons.counts[Event.HOST_CLOSE, reason] += 1
        if reason is HostClose.UNSOLICITED:
            self._log_unsolicited(host, connection)
        else:
            LOG.debug(
                "hosts: %s connection %d: closed: %s", host, connection.number, reason, extra={"host": host}
            )
        self._last_answers.pop(connection, None)
        connection.close()
        if reason is HostClose.UNSOLICITED:
            self.pool.distrust(host)

    def _log_unsolicited(self, host: str, connection: Connection) -> None:
        """Log the connection and the outcome before the data: the data may have been that call's answer."""
        answer = self._last_answers.get(connection)
        if answer is None:
            LOG.info(
                "hosts: %s connection %d: closed: %s, before any request",
                host, connection.number, HostClose.UNSOLICITED, extra={"host": host},
            )  # fmt: skip
            return
        age_ms = (self._now_s() - answer.at_s) * 1000
        LOG.info(
            "hosts: %s connection %d: closed: %s, %.0f ms behind call %d (message %s attempt %d)",
            host, connection.number, HostClose.UNSOLICITED, age_ms, answer.calls, answer.message_id,
            answer.attempt, extra={"host": host, "message_id": answer.message_id},
        )  # fmt: skip
