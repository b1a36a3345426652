"""Deadlines include all processing time: intake, a restart, a step, a call, and a late response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from unittest.mock import Mock

import pytest

from mallowlug.core.clock import Clock
from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.journal import Journal
from mallowlug.core.listings import Listings
from mallowlug.core.metrics import Metrics
from mallowlug.core.model import Call, EndpointList, Notice, Part, PartOutcome, ResolvedEndpoint, Submission
from mallowlug.core.ports import Adapters
from mallowlug.core.relay import DEADLINE_SLACK_US, RelayCore
from mallowlug.system import POSIX
from mossfront import DecisionEngine
from mossfront import interface as api
from tests.calls import HostCalls, start_host
from tests.support import KEYED, SECOND, UNSAFE, arrival, endpoint_update, entry, sends, settings
from tests.world import World, delivered, settings_json, silent

LAG_US = 13_000  # duration of a step, or of recovering a journal of 90 messages, on a scaled-down CPU core
NOW_US = 100 * SECOND


def test_the_wait_for_a_step_counts_against_the_deadline() -> None:
    relay = DecisionEngine(settings(), 1)
    waited = replace(arrival("m1", UNSAFE, time_left_us=2 * SECOND), received_us=SECOND - LAG_US)
    [send] = sends(relay.step(SECOND, [endpoint_update(entry("h1")), waited]))
    assert send.timeout_us == 2 * SECOND - LAG_US


def test_the_age_of_a_recovered_attempt_includes_the_restart() -> None:
    relay = DecisionEngine(settings(), 1)
    recovered = replace(
        arrival("k1", KEYED), attempts=1, in_doubt_age_us=SECOND, in_doubt_zone="a", received_us=SECOND
    )
    [send] = sends(relay.step(SECOND + LAG_US, [endpoint_update(entry("h1")), recovered]))
    assert send.start_within_us == KEYED.window_us - SECOND - LAG_US - settings().round_us


async def test_a_calls_time_limit_counts_from_its_step_not_from_its_sending() -> None:
    host = await start_host(silent)
    calls = HostCalls(host.port)
    sent_s = asyncio.get_running_loop().time() - 5.0
    parts = [Part("m1", 0, "", b"x", 5_200_000), Part("m2", 0, "", b"x", 60_000_000)]
    exchange = calls.hosts.send(Call("h1", parts, sent_s))
    assert exchange.end_s == sent_s + 60.0
    assert exchange.part_timers[parts[0]].when() == sent_s + 5.2
    assert (await calls.outcome("m1")).verdict in (api.Verdict.TIMEOUT, api.Verdict.CONNECT_FAILED)
    calls.hosts.close()
    host.stop()


class SlowClock:
    """A monotonic clock that advances at every reading, as on a CPU core where every operation is slow."""

    def __init__(self, lag_us: int) -> None:
        self.lag_us, self.now_us = lag_us, NOW_US

    def __call__(self) -> float:
        self.now_us += self.lag_us
        return self.now_us / 1e6


class CoreUnderTest:
    """A relay core with stub adapters that record what they receive."""

    def __init__(self, folder: Path, lag_us: int = 0) -> None:
        self.calls: list[Call] = []
        self.notices: list[Notice] = []
        self.slow = SlowClock(lag_us)
        self.settled: Callable[[Call, Part, PartOutcome], None]
        self.confirmed: Callable[[str], None]
        partners = Mock(batch_size=lambda _host: 1, zone_of=lambda _host: "a", send=self.calls.append)
        notifier = Mock(send=self.notices.append)

        def make_partners(settled: Callable[[Call, Part, PartOutcome], None], _released: object) -> Mock:
            self.settled = settled
            return partners

        def make_notifier(confirmed: Callable[[str], None]) -> Mock:
            self.confirmed = confirmed
            return notifier

        self.journal = Journal(folder, 1_000_000, POSIX.disk)
        self.driver = RelayCore(
            settings=settings(), seed=1, journal=self.journal,
            adapters=Adapters(make_partners, lambda *_: Mock(), make_notifier),
            clock=Clock(0, self.slow, lambda: True), listings=Listings(1024, 60.0), metrics=Metrics(()),
            disabled_hosts=DisabledHosts(folder, POSIX.disk), on_crash=lambda error: pytest.fail(repr(error)),
        )  # fmt: skip
        self.steps: list[int] = []  # times of the steps, by the decision engine's clock
        module = self.driver._engine
        step = module.step

        def recorded_step(now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
            self.steps.append(now_us)
            return step(now_us, events)

        module.step = recorded_step  # type: ignore[method-assign]

    def start(self) -> None:
        """Start with one host on the list."""
        self.driver.start(EndpointList(1, True, (ResolvedEndpoint(entry("h1"), ("127.0.0.1", 1)),)))

    async def first_call(self) -> Call:
        """Wait for the first call and return it."""
        while not self.calls:
            await asyncio.sleep(0)
        return self.calls[0]

    def close(self) -> None:
        """Close the relay core and its journal."""
        self.driver.close()
        self.journal.close()


def submission(left_us: int) -> Submission:
    return Submission("m1", 1, UNSAFE.name, NOW_US + left_us)


@pytest.mark.parametrize("restarted", [False, True])
async def test_no_call_outlasts_its_message_however_long_steps_take(tmp_path: Path, restarted: bool) -> None:
    """A response came 6 ms after the deadline, in a call that lasted 13 ms too long: a lost message."""
    core = CoreUnderTest(tmp_path, LAG_US)
    core.start()
    core.driver.submit(submission(2 * SECOND), b"x")
    if restarted:  # before its step
        core.close()
        core = CoreUnderTest(tmp_path, LAG_US)
        core.start()
    call = await core.first_call()
    assert core.steps[-1] + call.parts[0].timeout_us == NOW_US + 2 * SECOND
    core.close()


@pytest.mark.parametrize(
    ("left_us", "notified"),
    [
        (SECOND, False),
        (DEADLINE_SLACK_US + 1, False),
        (DEADLINE_SLACK_US - 1, True),
        (0, True),
        (-LAG_US, True),
    ],
)
async def test_a_response_at_or_after_the_deadline_still_sends_a_notice(
    tmp_path: Path, left_us: int, notified: bool
) -> None:
    """The relay can't know if it was written in time; a notice for a delivered message does no harm."""
    core = CoreUnderTest(tmp_path)
    core.start()
    core.driver.submit(submission(2 * SECOND), b"x")
    call = await core.first_call()
    core.slow.now_us = NOW_US + 2 * SECOND - left_us
    core.settled(call, call.parts[0], PartOutcome(api.Verdict.OK, complete=True))
    assert core.notices == [Notice("m1", "dead")] * notified
    core.close()
    again = CoreUnderTest(tmp_path)
    assert set(again.journal.recovered) == ({"m1"} if notified else set())
    again.start()
    assert again.notices == [Notice("m1", "dead")] * notified  # repeated until it is confirmed
    if notified:
        again.confirmed("m1")
    again.close()
    last = CoreUnderTest(tmp_path)
    assert last.journal.recovered == {}
    last.close()


async def test_a_response_after_the_deadline_sends_a_notice_also_after_a_large_recovery(
    world: World,
) -> None:
    """The more messages a restart recovered, the later it took each deadline to be."""
    world.disk_mb = 30.0
    world.settings = settings_json(open_cap=10_000)
    world.list_unserved_destination(2)  # no host serves it, so its messages stay held
    host = await world.add("h1", silent)
    client = await world.run()
    await client.submit_until_accepted("m0", dest=2)
    loop, deadline_s = asyncio.get_running_loop(), 4.0
    end_s = loop.time() + deadline_s
    assert await client.submit("m1", d=int(deadline_s * 1000)) == b"+OK"
    await host.until(lambda: any("m1" in request.ids for request in host.seen))
    await world.kill()
    journal = Journal(world.state, 30_000_000, POSIX.disk)
    fields = next(m.fields for m in journal.recovered.values() if m.id == "m0")
    for number in range(4000):
        journal.accept(f"f{number}", fields | {"id": f"f{number}"}, b"")
    journal.close()
    host.seen.clear()
    await world.run()
    await host.until(lambda: any("m1" in request.ids for request in host.seen))
    late = next(request for request in host.seen if "m1" in request.ids)
    loop.call_at(end_s + 0.002, delivered, late)  # just after the message's deadline
    assert (await world.directory.notice("m1"))["result"] in ("dead", "bounced")
