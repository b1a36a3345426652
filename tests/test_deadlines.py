"""A message's time over all that takes time here: reading it, a restart, a step, a call, a late answer."""

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
from mallowlug.core.relay import NEAR_US, RelayCore
from mallowlug.system import POSIX
from mossfront import DecisionEngine
from mossfront import interface as api
from tests.calls import HostCalls, start_host
from tests.support import KEYED, SECOND, UNSAFE, arrival, endpoint_update, entry, sends, settings
from tests.world import World, delivered, settings_json, silent

LAG_US = 13_000  # what a step, or taking up a journal of 90 messages, took on a scaled-down core
NOW_US = 100 * SECOND


def test_a_message_that_waited_for_its_step_has_so_much_less_time() -> None:
    relay = DecisionEngine(settings(), 1)
    waited = replace(arrival("m1", UNSAFE, time_left_us=2 * SECOND), received_us=SECOND - LAG_US)
    [send] = sends(relay.step(SECOND, [endpoint_update(entry("h1")), waited]))
    assert send.timeout_us == 2 * SECOND - LAG_US


def test_a_try_of_a_former_life_is_no_younger_for_the_time_that_a_restart_takes() -> None:
    relay = DecisionEngine(settings(), 1)
    found = replace(
        arrival("k1", KEYED), attempts=1, in_doubt_age_us=SECOND, in_doubt_zone="a", received_us=SECOND
    )
    [send] = sends(relay.step(SECOND + LAG_US, [endpoint_update(entry("h1")), found]))
    assert send.start_within_us == KEYED.window_us - SECOND - LAG_US - settings().round_us


async def test_a_calls_time_counts_from_its_step_and_not_from_when_it_is_let_out() -> None:
    host = await start_host(silent)
    calls = HostCalls(host.port)
    sent_s = asyncio.get_running_loop().time() - 5.0
    parts = [Part("m1", 0, "", b"x", 5_200_000), Part("m2", 0, "", b"x", 60_000_000)]
    exchange = calls.hosts.send(Call("h1", parts, sent_s))
    assert exchange.until_s == sent_s + 60.0
    assert exchange.timers[parts[0]].when() == sent_s + 5.2
    assert (await calls.outcome("m1")).verdict in (api.Verdict.TIMEOUT, api.Verdict.CONNECT_FAILED)
    calls.hosts.close()
    host.stop()


class Slow:
    """A monotonic clock that goes on at every look, as on a core where all that is done takes long."""

    def __init__(self, lag_us: int) -> None:
        self.lag_us, self.now_us = lag_us, NOW_US

    def __call__(self) -> float:
        self.now_us += self.lag_us
        return self.now_us / 1e6


class Core:
    """A driver between ports that only listen."""

    def __init__(self, folder: Path, lag_us: int = 0) -> None:
        self.calls: list[Call] = []
        self.notices: list[Notice] = []
        self.slow = Slow(lag_us)
        self.settled: Callable[[Call, Part, PartOutcome], None]
        self.confirmed: Callable[[str], None]
        partners = Mock(batch_size=lambda _host: 1, zone_of=lambda _host: "a", send=self.calls.append)
        ends = Mock(send=self.notices.append)

        def partners_of(settled: Callable[[Call, Part, PartOutcome], None], _released: object) -> Mock:
            self.settled = settled
            return partners

        def ends_of(confirmed: Callable[[str], None]) -> Mock:
            self.confirmed = confirmed
            return ends

        self.journal = Journal(folder, 1_000_000, POSIX.disk)
        self.driver = RelayCore(
            settings=settings(), seed=1, journal=self.journal,
            plugs=Adapters(partners_of, lambda *_: Mock(), ends_of),
            clock=Clock(0, self.slow, lambda: True), listings=Listings(1024, 60.0), figures=Metrics(()),
            outs=DisabledHosts(folder, POSIX.disk), crashed=lambda error: pytest.fail(repr(error)),
        )  # fmt: skip
        self.steps: list[int] = []  # when each step was, by the module's clock
        module = self.driver._module
        step = module.step

        def noted(now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
            self.steps.append(now_us)
            return step(now_us, events)

        module.step = noted  # type: ignore[method-assign]

    def start(self) -> None:
        """With one host on the list."""
        self.driver.start(EndpointList(1, True, (ResolvedEndpoint(entry("h1"), ("127.0.0.1", 1)),)))

    async def called(self) -> Call:
        """The first call, once it is let out."""
        while not self.calls:
            await asyncio.sleep(0)
        return self.calls[0]

    def close(self) -> None:
        """Let go of everything."""
        self.driver.close()
        self.journal.close()


def handed(left_us: int) -> Submission:
    return Submission("m1", 1, UNSAFE.name, NOW_US + left_us)


@pytest.mark.parametrize("restarted", [False, True])
async def test_no_call_outlasts_its_message_however_long_the_steps_take(
    tmp_path: Path, restarted: bool
) -> None:
    """An answer came 6 ms behind the message's time, within a call that had 13 ms too many: lost."""
    core = Core(tmp_path, LAG_US)
    core.start()
    core.driver.submit(handed(2 * SECOND), b"x")
    if restarted:  # before its step
        core.close()
        core = Core(tmp_path, LAG_US)
        core.start()
    call = await core.called()
    assert core.steps[-1] + call.parts[0].timeout_us == NOW_US + 2 * SECOND
    core.close()


@pytest.mark.parametrize(
    ("left_us", "told"),
    [(SECOND, False), (NEAR_US + 1, False), (NEAR_US - 1, True), (0, True), (-LAG_US, True)],
)
async def test_an_answer_at_or_behind_the_messages_time_is_not_trusted_alone(
    tmp_path: Path, left_us: int, told: bool
) -> None:
    """Whether it was written in time nobody here can know; a notice for what is over does no harm."""
    core = Core(tmp_path)
    core.start()
    core.driver.submit(handed(2 * SECOND), b"x")
    call = await core.called()
    core.slow.now_us = NOW_US + 2 * SECOND - left_us
    core.settled(call, call.parts[0], PartOutcome(api.Verdict.OK, complete=True))
    assert core.notices == [Notice("m1", "dead")] * told
    core.close()
    again = Core(tmp_path)
    assert set(again.journal.recovered) == ({"m1"} if told else set())
    again.start()
    assert again.notices == [Notice("m1", "dead")] * told  # until it is confirmed
    if told:
        again.confirmed("m1")
    again.close()
    last = Core(tmp_path)
    assert last.journal.recovered == {}
    last.close()


async def test_found_beside_thousands_an_answer_behind_its_time_still_ends_with_a_notice(
    world: World,
) -> None:
    """The more a restart found, the later it took each message's time to be up."""
    world.disk_mb = 30.0
    world.settings = settings_json(open_cap=10_000)
    world.name(2)  # nobody serves it: what is held for it stays held
    host = await world.add("h1", silent)
    client = await world.run()
    await client.insist("m0", dest=2)
    loop, most_s = asyncio.get_running_loop(), 4.0
    end_s = loop.time() + most_s
    assert await client.hand_in("m1", d=int(most_s * 1000)) == b"+OK"
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
    loop.call_at(end_s + 0.002, delivered, late)  # the gate: behind the message's time, and only just
    assert (await world.directory.notice("m1"))["result"] in ("dead", "bounced")
