"""Why connections are closed, calls made again and messages refused: counted once, and told in the log."""

from __future__ import annotations

import asyncio
import logging

import pytest

from mallowlug.core.reasons import ClientClose, Event, HostClose, Reasons
from mossfront import DecisionEngine
from mossfront import interface as api
from tests.support import (
    KEYED,
    SAFE,
    SECOND,
    UNSAFE,
    arrival,
    attempt_outcome,
    endpoint_update,
    entry,
    sends,
    settings,
)
from tests.test_figures import scraped
from tests.world import World, packed, silent, soon


def test_each_event_is_counted_by_reason_and_told_once(caplog: pytest.LogCaptureFixture) -> None:
    reasons = Reasons()
    with caplog.at_level(logging.INFO):
        for _ in range(2):
            reasons.count(Event.RETRY, "reset", message_id="m1", host="h1")
        reasons.count(Event.HOST_CLOSE, HostClose.IDLE, host="h1")
        reasons.tell()
        reasons.tell()
    assert caplog.messages == ["host_closes: idle too long, or ended by the host 1; retries: reset 2"]
    assert {reason: count for reason, count in reasons.total(Event.RETRY).items() if count} == {"reset": 2}


def test_a_line_each_names_message_and_host_where_that_is_asked_for(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.DEBUG):
        Reasons().count(Event.RETRY, "reset", message_id="m1", host="h1")
    assert caplog.messages == ["retries: reset m1 h1"]


def given_up(relay: DecisionEngine, at_us: int, *events: api.Event) -> list[api.GiveUpReason]:
    """Why messages get their final answers in a step."""
    actions = relay.step(at_us, list(events))
    return [action.reason for action in actions if isinstance(action, api.Refuse | api.Fail)]


def relay_with_a_host(**told: int) -> DecisionEngine:
    """A relay that knows one host."""
    relay = DecisionEngine(settings(**told), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    return relay


def test_what_may_have_run_and_may_not_be_repeated_is_given_up_for_that() -> None:
    relay = relay_with_a_host()
    [send] = sends(relay.step(SECOND, [arrival("m1", UNSAFE)]))
    reasons = given_up(relay, 2 * SECOND, attempt_outcome(send, api.Verdict.RESET))
    assert reasons == [api.GiveUpReason.NOT_REPEATABLE]


def test_a_wait_beyond_the_time_a_full_table_and_the_last_try_have_reasons_of_their_own() -> None:
    relay = relay_with_a_host()
    [send] = sends(relay.step(SECOND, [arrival("m1", SAFE)]))
    refusal = attempt_outcome(send, api.Verdict.FULL, retry_after_us=3600 * SECOND)
    assert given_up(relay, 2 * SECOND, refusal) == [api.GiveUpReason.WAIT_EXCEEDS_DEADLINE]
    full = DecisionEngine(settings(max_held_messages=2), 1)
    full.step(0, [])
    held = [arrival(f"m{number}", KEYED) for number in range(3)]
    assert set(given_up(full, SECOND, *held)) == {api.GiveUpReason.BACKLOG_FULL}
    last = relay_with_a_host(max_attempts=1)
    [send] = sends(last.step(SECOND, [arrival("m1", SAFE)]))
    assert given_up(last, 2 * SECOND, attempt_outcome(send, api.Verdict.ERROR)) == [
        api.GiveUpReason.NO_ATTEMPTS_LEFT
    ]


async def closes(port: int, name: str) -> dict[str, float]:
    """Connections that were closed, by reason."""
    samples = await scraped(port)
    counts = {label: count for (known, _, label), count in samples.items() if known == f"relay_{name}_total"}
    return {label: count for label, count in counts.items() if count}


async def test_closes_of_clients_and_hosts_have_the_reasons_that_the_peers_gave(world: World) -> None:
    host = await world.add("h1", silent)
    world.name(1)
    port = world.open_console()
    client = await world.run()
    assert await client.hand_in("m1", d=3_000) == b"+OK"  # its call times out
    await host.call(0)
    rude = await world.client()
    rude.writer.write(packed(b"NOTHING") * 100)
    gone = await world.client()
    gone.writer.close()

    async def counted() -> None:
        want = {ClientClose.ERRORS.value: 1.0, ClientClose.BY_CLIENT.value: 1.0}
        while (await closes(port, "client_closes")) != want:
            rude.writer.close()
            await asyncio.sleep(0.02)
        while (await closes(port, "host_closes")).get(HostClose.FAILED.value) != 1.0:
            await asyncio.sleep(0.02)

    await soon(counted())
    samples = await scraped(port)
    assert samples["relay_host_phases", "", "suspect"] == samples["relay_host_phases", "", "healthy"] == 1
