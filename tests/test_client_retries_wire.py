"""Retries of refused messages over real processes that share nothing, at an endpoint that remembers keys."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import pytest

from tests.world import CLASS_DEFAULTS, Client, HttpServer, Request, World

WINDOW_S, DEADLINE_MS = 1.0, 20_000
KEY = "5c0f6e1a2b3d4c59"
SHORT_WINDOW_CLASS = {
    **CLASS_DEFAULTS,
    "name": "keyed",
    "effect": "keyed",
    "key_scope": "all",
    "dedup_window_us": int(WINDOW_S * 1e6),
    "aim_us": 1_000_000,
    "deadline_us": DEADLINE_MS * 1000,
}


class Partner:
    """An endpoint that runs each key once in a window; it shuts behind its first calls."""

    def __init__(self, first_statuses: list[int], shut_s: float) -> None:
        """Answer the first calls with these statuses: 500 has run, 503 never runs."""
        self._first_statuses, self._shut_s = first_statuses, shut_s
        self._opens_s = 0.0
        self._known_until_s: dict[str, float] = {}
        self.runs: Counter[str] = Counter()
        self.delivered: list[str] = []  # ids of messages answered with 200

    def reply(self, request: Request) -> None:
        """Handle one call."""
        if self._first_statuses:
            status = self._first_statuses.pop(0)
            self._opens_s = request.at_s + self._shut_s
            if status == 500:
                self._run(request)
            request.answer(status)
        elif request.at_s < self._opens_s:
            wait_ms = int((self._opens_s - request.at_s) * 1000) + 1
            request.answer(429, X_Retry_In_Ms=str(wait_ms))
        else:
            self._run(request)
            request.answer(200)
            self.delivered += request.ids

    def _run(self, request: Request) -> None:
        key = request.headers["idempotency-key"]
        if request.at_s > self._known_until_s.get(key, 0.0):
            self._known_until_s[key] = request.at_s + WINDOW_S
            self.runs[key] += 1


@pytest.fixture
async def relays(world: World, tmp_path: Path) -> AsyncIterator[tuple[World, World]]:
    """Two relays without shared state behind one directory; neither is started."""
    other = World(tmp_path / "other")
    other.folder.mkdir()
    other.state.mkdir()
    other.directory, other.hosts = world.directory, world.hosts
    for relay in (world, other):
        relay.settings["request_classes"] = [SHORT_WINDOW_CLASS]
        relay.settings["allowed"]["max_retry_after_us"] = 200_000
    yield world, other
    await other.stop()


async def hand_in(client: Client, ref: str, left_ms: int) -> bytes:
    """Hand in the message with its key under a new id."""
    fields = f"c=keyed,t=acme_corp,d={left_ms},k={KEY},dest=1"
    return await client.command(b"ENQUEUE", b"0" * 16, ref.encode(), fields.encode(), b"order")


async def same_relay(relays: tuple[World, World]) -> Client:
    return await relays[0].client()


async def other_relay(relays: tuple[World, World]) -> Client:
    return await relays[1].client()


async def restarted_relay(relays: tuple[World, World]) -> Client:
    return await relays[0].kill_and_restart()


RetryTarget = Callable[[tuple[World, World]], Awaitable[Client]]
RETRY_TARGETS = (same_relay, other_relay, restarted_relay)


async def deliver_with_retry(relays: tuple[World, World], partner: Partner, target: RetryTarget) -> str:
    """Hand in a message and, where it is refused, retry it once as a client does; return its first result."""
    world, other = relays
    host: HttpServer = await world.add("h1", partner.reply)
    client = await world.run()
    await other.run()
    started_s = asyncio.get_running_loop().time()
    assert await hand_in(client, "first", DEADLINE_MS) == b"+OK"
    notice = await world.directory.notice("first")
    if notice["result"] == "bounced":
        await asyncio.sleep(notice["wait_ms"] / 1000)
        retry_client = await target(relays)
        elapsed_ms = int((asyncio.get_running_loop().time() - started_s) * 1000)
        assert await hand_in(retry_client, "retry", DEADLINE_MS - elapsed_ms) == b"+OK"
        await host.until(lambda: partner.delivered == ["retry"])
    return str(notice["result"])


@pytest.mark.parametrize("target", RETRY_TARGETS)
async def test_an_order_that_ran_is_not_run_again_by_a_retry(
    relays: tuple[World, World], target: RetryTarget
) -> None:
    """Review case 1: an order in doubt was refused, and its retry ran once the key was forgotten."""
    partner = Partner([500], shut_s=3 * WINDOW_S)
    result = await deliver_with_retry(relays, partner, target)
    assert (partner.runs, result) == ({KEY: 1}, "dead")


@pytest.mark.parametrize("target", RETRY_TARGETS)
async def test_an_order_that_never_ran_is_refused_and_its_retry_runs(
    relays: tuple[World, World], target: RetryTarget
) -> None:
    partner = Partner([503, 503], shut_s=0.0)
    for relay in relays:
        relay.settings["allowed"]["most_tries"] = 2
    assert await deliver_with_retry(relays, partner, target) == "bounced"
    assert partner.runs == {KEY: 1}


async def test_an_order_in_doubt_behind_a_restart_is_not_refused(relays: tuple[World, World]) -> None:
    """The attempt was made by the process before; the one that gives the message up has its journal alone."""
    world, _ = relays
    host = await world.add("h1", Partner([500], shut_s=DEADLINE_MS / 1000).reply)
    client = await world.run()
    host.script.append(lambda _request: None)  # runs, and does not answer before the relay is killed
    assert await hand_in(client, "first", DEADLINE_MS) == b"+OK"
    await host.call(0)
    await world.kill_and_restart()
    assert (await world.directory.notice("first"))["result"] == "dead"
