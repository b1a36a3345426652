"""Settings that change at SIGHUP: checked whole, then swapped; what is open keeps the rules it came under."""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path
from typing import Any

import pytest

from mallowlug.config import key_shape, missing_keys
from mallowlug.core.journal import MAX_RULES, Journal
from mallowlug.system import POSIX
from mossfront import interface as api
from mossfront.engine import DecisionEngine
from tests.support import KEYED, SAFE, SECOND, arrival, ended, entry, roster, sends, settings
from tests.world import CLASS_DEFAULTS, CLASSES, World, http_request, silent, soon

NEW: dict[str, Any] = {
    "name": "new",
    "effect": "unsafe",
    "key_scope": "all",
    "dedup_window_us": 0,
    **CLASS_DEFAULTS,
}


async def counted(console: int, name: str, number: int) -> None:
    """Wait until a figure has a value."""

    async def reached() -> None:
        while f"relay_{name} {number}\n" not in (await http_request(console, "GET", "/metrics"))[1]:
            await asyncio.sleep(0.01)

    await soon(reached())


async def test_a_class_that_is_new_is_taken_on_under_its_rules(world: World) -> None:
    host = await world.add("h1")
    console = world.open_console()
    client = await world.run()
    assert await client.submit("m0", "new") == b"-ERR unknown class"
    world.settings["request_classes"] = [*CLASSES, NEW]
    await world.reload()
    await counted(console, "conf_loaded_total", 1)
    host.script.append(lambda request: request.answer(500))
    assert await client.submit("m1", "new") == b"+OK"  # unsafe: it may have run, and is not repeated
    assert (await world.directory.notice("m1"))["result"] == "dead"
    _, text = await http_request(console, "GET", "/metrics")
    assert 'relay_transactions_total{group="new",state="errored"} 1\n' in text


async def test_an_open_message_keeps_its_rules_over_change_drop_and_kill(world: World) -> None:
    """A class of the same name becomes unsafe while a message of it is out: what came as safe is repeated."""
    host = await world.add("h1", silent)
    console = world.open_console()
    client = await world.run()
    assert await client.submit("m1", "safe") == b"+OK"
    call = await host.call(0)
    world.settings["request_classes"] = [{**NEW, "name": "safe"}, *CLASSES[:1]]
    await world.reload()
    await counted(console, "conf_loaded_total", 1)
    call.reset()
    await host.call(1)  # again, though the class of its name is unsafe now
    assert await client.submit("m2", "safe") == b"+OK"
    await host.until(lambda: any("m2" in request.ids for request in host.seen))
    world.settings["request_classes"] = CLASSES[:1]
    await world.kill_and_restart()  # the last file dropped the class; both were out
    assert (await world.directory.notice("m2"))["result"] == "dead"
    await host.until(lambda: sum("m1" in request.ids for request in host.seen) == 3)
    assert sum("m2" in request.ids for request in host.seen) == 1


async def test_a_dropped_class_is_refused_once_clients_must_know(world: World) -> None:
    await world.add("h1")
    client = await world.run()
    world.settings["request_classes"] = CLASSES[:1]
    await world.reload()

    async def dropped() -> None:
        number = 0
        while await client.submit(f"m{number}", "safe") != b"-ERR unknown class":
            number += 1
            await asyncio.sleep(0.05)

    await soon(dropped())
    assert await client.submit("k1", "keyed") == b"+OK"


def spoil(path: str, value: Any) -> Any:
    """A change of one place in the file; ``None`` in place of a value takes the key away."""

    def change(told: dict[str, Any]) -> None:
        *way, last = path.split(".")
        at: Any = told
        for step in way:
            at = at[int(step)] if isinstance(at, list) else at[step]
        if value is None:
            del at[last]
        else:
            at[last] = value

    return change


COUNTS: tuple[Any, ...] = (0, -1, "x", 2.5, True, [], {})
TIMES_: tuple[Any, ...] = (
    None, 0, -5, "", "soon", 1.5, False, [1], {"a": 1}, float("nan"), float("inf"),
)  # fmt: skip
BROKEN = [
    *(spoil(key, None) for key in ("settings", "discovery", "listen", "limits", "seed", "known", "name")),
    *(spoil(f"settings.{key}", None) for key in ("allowed", "request_classes", "rules", "round_us")),
    *(spoil(f"settings.allowed.{key}", None) for key in ("most_tries", "open_cap", "keepalive_us", "cancel")),
    *(spoil("settings.allowed.most_tries", bad) for bad in COUNTS),
    *(spoil("settings.request_classes.1.deadline_us", bad) for bad in TIMES_),
    *(spoil(f"settings.request_classes.2.{key}", None) for key in ("name", "effect", "aim_us", "worth")),
    spoil("settings.request_classes.1.effect", "dangerous"),
    spoil("settings.request_classes.1.name", "keyed"),
    spoil("settings.request_classes", []),
    spoil("settings.request_classes", {}),
    spoil("settings", []),
    spoil("discovery", "nowhere"),
    spoil("limits", 3),
]


async def test_of_a_broken_file_nothing_is_taken(world: World) -> None:
    """Each of them also names another directory, one more class and fewer attempts."""
    host = await world.add("h1")
    console = world.open_console()
    client = await world.run()
    await world.directory.until(lambda: world.directory.seen)
    before = json.loads((world.folder / "config.json").read_text(encoding="utf-8"))
    trap = world.directory
    elsewhere = await world.move_directory()
    for number, change in enumerate(BROKEN):
        told = copy.deepcopy(before)
        told["discovery"] = f"127.0.0.1:{world.directory.port}"
        told["settings"]["request_classes"].append(NEW)
        change(told)
        await world.reload(json.dumps(told))
        await counted(console, "conf_invalid_total", number + 1)
    assert await client.submit("m1", "new") == b"-ERR unknown class"
    assert await client.submit("m2") == b"+OK"
    await host.call(0)
    assert not any(request.method == "GET" for request in world.directory.seen)
    assert elsewhere is trap
    await world.reload()  # and a good one still counts
    await counted(console, "conf_loaded_total", 1)


async def test_a_reload_that_changes_nothing_counts_as_taken(world: World) -> None:
    console = world.open_console()
    await world.run()
    for number in (1, 2):
        await world.reload()
        await counted(console, "conf_loaded_total", number)


@pytest.mark.parametrize(
    ("value", "want"),
    [
        ({"a": 1, "b": {"c": 2}, "d": [{"e": 1}]}, []),
        ({"a": 1, "b": {"c": 2}, "d": []}, []),
        ({"a": 1, "b": {}, "d": [{"e": 1}]}, ["b.c"]),
        ({"a": None, "b": {"c": 2}, "d": [{"e": 1}, {"f": 1}]}, ["a", "d.1.e"]),
        ({"a": 1, "b": 5, "d": {}}, ["b", "d"]),
        ([], ["all"]),
        ({"a": [1], "b": {"c": 2}, "d": [{"e": {}}]}, ["a plain value at a", "a plain value at d.0.e"]),
    ],
)
def test_what_a_file_lacks_is_named(value: Any, want: list[str]) -> None:
    shape = key_shape({"a": 1, "b": {"c": 2}, "d": [{"e": 1, "f": 2}, {"e": 3}]})
    assert list(missing_keys(value, shape)) == want


def test_rules_are_kept_for_as_long_as_a_message_lives_by_them(tmp_path: Path) -> None:
    """Settings that change all day fill neither journal nor memory."""
    journal = Journal(tmp_path, 1_000_000, POSIX.disk)
    first = journal.rules_number({"name": "first"}, ())
    journal.accept("m1", {"rules": first}, b"")
    for number in range(1000):
        last = journal.rules_number({"name": f"n{number}"}, (first,))
    assert len(journal.rules) <= MAX_RULES + 2
    journal.close()
    again = Journal(tmp_path, 1_000_000, POSIX.disk)
    assert again.rules[first] == {"name": "first"}
    assert again.rules_number({"name": "n999"}, ()) == last


def test_attempts_and_effect_are_those_of_the_arrival() -> None:
    relay = DecisionEngine(settings(max_attempts=3), 1)
    relay.step(0, [roster(entry("h1"))])
    (first,) = sends(relay.step(SECOND, [arrival("a", SAFE)]))
    unsafe = api.MessageClass(SAFE.name, api.Effect.UNSAFE, SECOND, 6 * SECOND)
    fewer = settings(max_attempts=1, classes=(unsafe,))
    relay.step(2 * SECOND, [api.SettingsChanged(fewer)])
    found = relay.step(2 * SECOND + 1, [ended(first, api.Verdict.ERROR)])
    now = 2 * SECOND
    while not (again := sends(found)):  # repeated: it came as safe, with three attempts
        now += 50_000
        assert now < 6 * SECOND
        found = relay.step(now, [api.TimerDue()])
    found = relay.step(now + 1, [arrival("b", SAFE), ended(again[0], attempt=1)])
    while not (new := sends(found)):  # behind a failure and a success it may be cold
        now += 50_000
        assert now < 8 * SECOND
        found = relay.step(now, [api.TimerDue()])
    actions = relay.step(now + 2, [ended(new[0], api.Verdict.ERROR)])
    assert [type(action) for action in actions if isinstance(action, api.Fail | api.Refuse)] == [api.Fail]


def test_an_old_rule_of_a_former_life_needs_no_class_of_its_name() -> None:
    relay = DecisionEngine(settings(classes=(SAFE,)), 1)
    relay.step(0, [roster(entry("h1"))])
    came = api.Arrival("a", 1, "gone", 9 * SECOND, rules=api.DeliveryRules(KEYED, 2))
    assert len(sends(relay.step(SECOND, [came]))) == 1
    assert sends(relay.step(SECOND, [api.Arrival("b", 1, "gone", 9 * SECOND)])) == []


def test_rules_in_the_module_do_not_grow_with_changes() -> None:
    relay = DecisionEngine(settings(), 1)
    for number in range(1000):
        cls = api.MessageClass(f"c{number}", api.Effect.SAFE, SECOND, 6 * SECOND)
        relay.step(number, [api.SettingsChanged(settings(classes=(cls,)))])
    assert len(relay.compiled_rules) <= 66
