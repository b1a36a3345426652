"""Closed connections, retries and refusals are counted once by reason, and logged."""

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
from tests.test_metrics import scrape
from tests.world import World, encode_command, silent, soon


def test_each_event_is_counted_by_reason_and_summarized_once(caplog: pytest.LogCaptureFixture) -> None:
    reasons = Reasons()
    with caplog.at_level(logging.INFO):
        for _ in range(2):
            reasons.count(Event.RETRY, "reset", message_id="m1", host="h1")
        reasons.count(Event.HOST_CLOSE, HostClose.IDLE, host="h1")
        reasons.log_summary()
        reasons.log_summary()
    assert caplog.messages == ["host_closes: idle too long, or ended by the host 1; retries: reset 2"]
    assert {reason: count for reason, count in reasons.total(Event.RETRY).items() if count} == {"reset": 2}


def test_debug_lines_name_message_and_host(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.DEBUG):
        Reasons().count(Event.RETRY, "reset", message_id="m1", host="h1")
    assert caplog.messages == ["retries: reset m1 h1"]


def give_up_reasons(relay: DecisionEngine, at_us: int, *events: api.Event) -> list[api.GiveUpReason]:
    """The reasons of the final results decided in one step."""
    actions = relay.step(at_us, list(events))
    return [action.reason for action in actions if isinstance(action, api.Refuse | api.Fail)]


def engine_with_one_host(**overrides: int) -> DecisionEngine:
    """An engine that knows one host."""
    relay = DecisionEngine(settings(**overrides), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    return relay


def test_unsafe_message_in_doubt_is_given_up_as_not_repeatable() -> None:
    relay = engine_with_one_host()
    [send] = sends(relay.step(SECOND, [arrival("m1", UNSAFE)]))
    reasons = give_up_reasons(relay, 2 * SECOND, attempt_outcome(send, api.Verdict.RESET))
    assert reasons == [api.GiveUpReason.NOT_REPEATABLE]


def test_long_wait_full_backlog_and_last_attempt_have_their_own_reasons() -> None:
    relay = engine_with_one_host()
    [send] = sends(relay.step(SECOND, [arrival("m1", SAFE)]))
    refusal = attempt_outcome(send, api.Verdict.FULL, retry_after_us=3600 * SECOND)
    assert give_up_reasons(relay, 2 * SECOND, refusal) == [api.GiveUpReason.WAIT_EXCEEDS_DEADLINE]
    full = DecisionEngine(settings(max_held_messages=2), 1)
    full.step(0, [])
    held = [arrival(f"m{number}", KEYED) for number in range(3)]
    assert set(give_up_reasons(full, SECOND, *held)) == {api.GiveUpReason.BACKLOG_FULL}
    last = engine_with_one_host(max_attempts=1)
    [send] = sends(last.step(SECOND, [arrival("m1", SAFE)]))
    assert give_up_reasons(last, 2 * SECOND, attempt_outcome(send, api.Verdict.ERROR)) == [
        api.GiveUpReason.NO_ATTEMPTS_LEFT
    ]


async def close_counts(port: int, name: str) -> dict[str, float]:
    """Counts of closed connections by reason."""
    samples = await scrape(port)
    counts = {label: count for (known, _, label), count in samples.items() if known == f"relay_{name}_total"}
    return {label: count for label, count in counts.items() if count}


async def test_closed_connections_are_counted_by_reason(world: World) -> None:
    host = await world.add("h1", silent)
    world.list_unserved_destination(1)
    port = world.open_console()
    client = await world.run()
    assert await client.submit("m1", d=3_000) == b"+OK"  # its call times out
    await host.call(0)
    malformed = await world.client()
    malformed.writer.write(encode_command(b"NOTHING") * 100)
    gone = await world.client()
    gone.writer.close()

    async def counted() -> None:
        want = {ClientClose.ERRORS.value: 1.0, ClientClose.BY_CLIENT.value: 1.0}
        while (await close_counts(port, "client_closes")) != want:
            malformed.writer.close()
            await asyncio.sleep(0.02)
        while (await close_counts(port, "host_closes")).get(HostClose.FAILED.value) != 1.0:
            await asyncio.sleep(0.02)

    await soon(counted())
    samples = await scrape(port)
    assert samples["relay_host_phases", "", "suspect"] == samples["relay_host_phases", "", "healthy"] == 1
