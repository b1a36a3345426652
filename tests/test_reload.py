"""Reloads by SIGHUP, on a real process."""

from __future__ import annotations

import pytest

from tests.world import Directory, World, silent, soon


def watches(directory: Directory) -> list[str]:
    """Return the watch requests that a directory received."""
    return [request.target for request in directory.seen if request.method == "GET"]


async def test_reload_moves_the_watch_at_the_held_version(world: World) -> None:
    """Guards against a SIGHUP that ends the process, and against a watch that stays at the old address."""
    host = await world.add("h1")
    client = await world.run()
    await world.directory.until(lambda: watches(world.directory))
    await client.submit("m1")
    await host.call(0)  # so the list was read
    old = await world.move_directory()
    seq = world.directory.seq
    await world.reload()
    await world.directory.until(lambda: watches(world.directory))
    assert watches(world.directory) == [f"/discovery/hosts?watch=1&from={seq}"]
    new_host = await world.add("h2", block=2)
    await client.submit_until_accepted("m2", dest=2)
    assert (await new_host.call(0)).ids == ["m2"]
    left = next(request for request in old.seen if request.method == "GET")
    await soon(left.writer.wait_closed())  # the relay ends the old watch
    assert await client.command(b"PING") == b"+PONG"


async def test_old_watch_stays_until_the_new_address_answers(world: World) -> None:
    """No change may be lost between the two watches."""
    client = await world.run()
    await world.directory.until(lambda: watches(world.directory))
    host = await world.add("h1")
    await client.submit("m1")
    await host.call(0)
    old = await world.move_directory()
    world.directory.default = silent
    await world.reload()
    await world.directory.until(lambda: watches(world.directory))
    world.directory, world.former_directories = old, [world.directory]
    new_host = await world.add("h2", block=2)
    await client.submit_until_accepted("m2", dest=2)
    assert (await new_host.call(0)).ids == ["m2"]


async def test_unconfirmed_notices_go_to_the_new_address(world: World) -> None:
    client = await world.run()
    await world.directory.until(lambda: watches(world.directory))
    world.directory.default = silent
    await client.submit("m1", d=60)
    await world.directory.until(lambda: any(b"m1" in request.body for request in world.directory.seen))
    await world.move_directory()
    await world.reload()
    assert (await world.directory.notice("m1"))["result"] == "bounced"
    await client.submit("m2", d=60)
    assert (await world.directory.notice("m2"))["result"] == "bounced"


@pytest.mark.parametrize(
    "text", ["", "{", "[]", "{}", '{"settings": 5}', '{"settings": {}, "discovery": "x"}', "[" * 100_000]
)
async def test_unusable_file_changes_nothing(world: World, text: str) -> None:
    world.list_unserved_destination(2)
    client = await world.run()
    await world.directory.until(lambda: watches(world.directory))
    await world.reload(text)
    assert await client.command(b"PING") == b"+PONG"
    host = await world.add("h1")
    await client.submit_until_accepted("m1")
    assert (await host.call(0)).ids == ["m1"]
    await client.submit("m2", dest=2, d=60)
    assert (await world.directory.notice("m2"))["result"] == "bounced"
    assert len(watches(world.directory)) == 1


async def test_repeated_sighup_and_return_to_the_first_address(world: World) -> None:
    client = await world.run()
    await world.directory.until(lambda: watches(world.directory))
    first = await world.move_directory()
    await world.reload()
    await world.reload()
    await world.directory.until(lambda: watches(world.directory))
    world.directory, second = first, world.directory
    await world.reload()
    await first.until(lambda: len(watches(first)) == 2)
    assert len(watches(second)) == 1
    host = await world.add("h1")
    await client.submit("m1")
    assert (await host.call(0)).ids == ["m1"]


async def test_sighup_during_shutdown(world: World) -> None:
    """It must neither end the process early nor be ignored: notices are still pending."""
    host = await world.add("h1", silent)
    client = await world.run()
    await client.submit("m1", "unsafe")
    call = await host.call(0)
    assert world.process is not None
    world.process.terminate()
    await world.move_directory()
    await world.reload()
    await world.directory.until(lambda: watches(world.directory))
    call.answer(500)
    assert (await world.directory.notice("m1"))["result"] == "dead"
    assert await soon(world.process.wait()) == 0


@pytest.mark.parametrize("moved_again", [False, True])
async def test_reload_overrides_the_discovery_variable(world: World, moved_again: bool) -> None:
    """A supervisor restarts with the first variables; a changed variable takes precedence again."""
    variable = f"127.0.0.1:{world.directory.port}"
    world.environment_variables["ROUTER_DISCOVERY"] = variable
    first = await world.move_directory()
    await world.run()
    await first.until(lambda: watches(first))
    assert watches(world.directory) == []
    await world.reload()
    await world.directory.until(lambda: watches(world.directory))
    await world.kill()
    first.seen.clear()
    if moved_again:
        second = await world.move_directory()
        world.environment_variables["ROUTER_DISCOVERY"] = f"127.0.0.1:{world.directory.port}"
        world.directory, third = second, world.directory
        await world.run()
        await third.until(lambda: watches(third))
        assert len(watches(second)) == 1
    else:
        await world.run()
        await world.directory.until(lambda: len(watches(world.directory)) == 2)
    assert watches(first) == []
