"""Restarts of the real process: SIGKILL and SIGTERM with messages in each state."""

from __future__ import annotations

import asyncio
import json
import sys

import pytest

from mallowlug import config
from mallowlug.compose import serve
from mallowlug.core.journal import Journal
from mallowlug.system import POSIX, Posix
from mossfront.engine import DecisionEngine
from tests.world import ROOT, World, delivered, silent, soon


async def test_held_message_is_delivered_after_a_restart(world: World) -> None:
    client = await world.run()
    assert await client.submit("m1", "unsafe") == b"+OK"
    await world.kill()
    host = await world.add("h1")
    await world.run()
    assert (await host.call(0)).ids == ["m1"]


@pytest.mark.parametrize("cls", ["keyed", "safe"])
async def test_interrupted_call_is_repeated_where_allowed(world: World, cls: str) -> None:
    """A keyed message goes only to the zone of its first attempt, even if another endpoint is cheaper."""
    first = await world.add("h1", silent, site="b")
    client = await world.run()
    await client.submit("m1", cls)
    await first.call(0)
    other = await world.add("h2", site="a")
    first.default = delivered
    await world.kill_and_restart()
    if cls == "keyed":
        call = await first.call(1)
        assert call.headers["idempotency-key"] == "key-m1"
        assert other.seen == []
    else:
        assert (await other.call(0)).ids == ["m1"]


async def test_interrupted_unsafe_call_fails(world: World) -> None:
    host = await world.add("h1", silent)
    client = await world.run()
    await client.submit("m1", "unsafe")
    await host.call(0)
    await world.kill_and_restart()
    assert await world.directory.notice("m1") == {"ref": "m1", "result": "dead"}
    assert len(host.seen) == 1


async def test_attempt_that_never_ran_may_be_retried_after_a_restart(world: World) -> None:
    host = await world.add("h1", lambda request: request.answer(429, X_Retry_In_Ms="20000"))
    client = await world.run()
    await client.submit("m1", "unsafe")
    await host.call(0)
    await client.command(b"PING")
    await world.wait_for_journal(b'"not"')
    host.default = delivered
    await world.kill_and_restart()
    assert (await host.call(1)).ids == ["m1"]


async def test_completed_message_is_never_sent_again(world: World) -> None:
    host = await world.add("h1")
    client = await world.run()
    await client.submit("m1")
    await host.call(0)
    await world.wait_for_journal(b'"over"')
    client = await world.kill_and_restart()
    await client.submit("m2")
    await host.call(1)
    assert [request.ids for request in host.seen] == [["m1"], ["m2"]]


async def test_unconfirmed_notice_is_sent_again(world: World) -> None:
    client = await world.run()
    world.directory.script += [silent] * 2  # the watch, then the notice
    await world.kill_and_restart()
    client = await world.client()
    world.directory.default, kept = silent, world.directory.default
    await client.submit("m1", d=60)
    await world.directory.until(lambda: any(b"m1" in request.body for request in world.directory.seen))
    world.directory.default = kept
    await world.kill_and_restart()
    assert (await world.directory.notice("m1"))["result"] == "bounced"


async def test_expired_message_gets_its_notice_after_a_restart(world: World) -> None:
    client = await world.run()
    await client.submit("m1", d=1500)
    await world.kill()
    assert world.directory.notices == []
    await asyncio.sleep(1.5)
    await world.run()
    assert (await world.directory.notice("m1"))["result"] == "bounced"


async def test_known_list_is_used_until_discovery_answers(world: World) -> None:
    host = await world.add("h1")
    world.known_hosts = list(world.directory.hosts.values())
    world.directory.down = True
    client = await world.run()
    await client.submit("m1")
    assert (await host.call(0)).ids == ["m1"]


async def test_torn_tail_loses_no_record_before_or_after_it(world: World) -> None:
    client = await world.run()
    await client.submit("m1")
    await world.kill()
    path = world.state / "journal"
    path.write_bytes(path.read_bytes() + path.read_bytes()[:40])
    client = await world.run()
    await client.submit("m2")
    await world.kill()
    host = await world.add("h1")
    await world.run()
    await host.until(lambda: {ref for request in host.seen for ref in request.ids} == {"m1", "m2"})


async def test_sigterm_lets_calls_end_and_keeps_other_messages(world: World) -> None:
    world.list_unserved_destination(2)
    host = await world.add("h1", silent)
    client = await world.run()
    await client.submit("m1", "unsafe")
    call = await host.call(0)
    await client.submit("m2", dest=2)
    assert world.process is not None
    world.process.terminate()
    call.answer()
    assert await client.command(b"PING") == b"+PONG"
    assert await client.submit("m3", dest=2) == b"+OK"  # accepted, for this process or the next
    assert await (await world.client()).submit("m4", dest=2) == b"+OK"
    assert await soon(client.reader.read()) == b""  # closed by the relay between two requests
    assert await soon(world.process.wait()) == 0
    late = await world.add("h2", block=2)
    await world.run()
    await late.until(lambda: {ref for request in late.seen for ref in request.ids} == {"m2", "m3", "m4"})
    assert len(host.seen) == 1
    assert world.directory.notices == []


async def test_recovered_message_of_a_removed_class_gets_its_result(world: World) -> None:
    """It keeps the rules it was accepted under; without rules the engine would drop it without a result."""
    client = await world.run()
    await client.submit("m1", "unsafe")
    await world.kill()
    world.settings["request_classes"] = world.settings["request_classes"][:2]
    journal = Journal(world.state, 3_000_000, POSIX.disk)
    journal.accept("m2", {"odd": 1}, b"")
    fields = {"id": "m3", "dest": 1, "cls": "unsafe", "deadline_us": 1 << 60}
    journal.accept("m3", fields, b"")  # of a version that stored no rules
    journal.accept("m4", fields | {"id": "m4", "cls": "safe"}, b"")
    journal.close()
    host = await world.add("h1")
    await world.run()
    assert (await world.directory.notice("m2"))["result"] == "dead"
    assert (await world.directory.notice("m3"))["result"] == "dead"
    await host.until(lambda: {ref for request in host.seen for ref in request.ids} == {"m1", "m4"})


@pytest.mark.parametrize("missing", ["settings", "listen", "known"])
async def test_unusable_configuration_ends_the_process(world: World, missing: str) -> None:
    """Without settings or a listen address the relay exits with 2; without a known list it serves."""
    environment = world.environment()
    path = world.folder / "config.json"
    config = json.loads(path.read_text(encoding="utf-8"))
    del config[missing]
    path.write_text(json.dumps(config), encoding="utf-8")
    world.process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "mallowlug", cwd=ROOT, env=environment
    )
    if missing == "known":
        assert await (await world.client()).command(b"PING") == b"+PONG"
    else:
        assert await soon(world.process.wait()) == 2


async def test_error_in_the_step_loop_is_logged_and_ends_the_process(
    world: World, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The error is not attributable to one message: the engine would go on in an unknown state."""

    def broken(*_args: object) -> None:
        raise RuntimeError("broken")

    monkeypatch.setattr(DecisionEngine, "step", broken)
    monkeypatch.setattr(Posix, "environ", world.environment())
    assert await soon(serve(config.load(POSIX), POSIX)) == 1
    assert "the step loop failed" in caplog.text
    assert "RuntimeError: broken" in caplog.text
