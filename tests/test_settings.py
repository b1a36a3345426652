"""Reload of settings at SIGHUP: validated whole, then swapped; open messages keep their rules."""

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
from tests.support import (
    KEYED,
    SAFE,
    SECOND,
    arrival,
    attempt_outcome,
    endpoint_update,
    entry,
    sends,
    settings,
)
from tests.world import CLASS_DEFAULTS, CLASSES, World, http_request, silent, soon

NEW_CLASS: dict[str, Any] = {
    "name": "new",
    "effect": "unsafe",
    "key_scope": "all",
    "dedup_window_us": 0,
    **CLASS_DEFAULTS,
}


async def wait_for_counter(console: int, name: str, value: int) -> None:
    """Wait until a metric has a value."""

    async def reached() -> None:
        while f"relay_{name} {value}\n" not in (await http_request(console, "GET", "/metrics"))[1]:
            await asyncio.sleep(0.01)

    await soon(reached())


async def test_new_class_is_accepted_with_its_settings(world: World) -> None:
    host = await world.add("h1")
    console = world.open_console()
    client = await world.run()
    assert await client.submit("m0", "new") == b"-ERR unknown class"
    world.settings["request_classes"] = [*CLASSES, NEW_CLASS]
    await world.reload()
    await wait_for_counter(console, "conf_loaded_total", 1)
    host.script.append(lambda request: request.answer(500))
    assert await client.submit("m1", "new") == b"+OK"  # unsafe: it may have run and is not repeated
    assert (await world.directory.notice("m1"))["result"] == "dead"
    _, text = await http_request(console, "GET", "/metrics")
    assert 'relay_transactions_total{group="new",state="errored"} 1\n' in text


async def test_open_message_keeps_its_rules_after_reload_and_restart(world: World) -> None:
    """A safe message is repeated although its class became unsafe while the message was in flight."""
    host = await world.add("h1", silent)
    console = world.open_console()
    client = await world.run()
    assert await client.submit("m1", "safe") == b"+OK"
    call = await host.call(0)
    world.settings["request_classes"] = [{**NEW_CLASS, "name": "safe"}, *CLASSES[:1]]
    await world.reload()
    await wait_for_counter(console, "conf_loaded_total", 1)
    call.reset()
    await host.call(1)  # repeated, although the class of this name is unsafe now
    assert await client.submit("m2", "safe") == b"+OK"
    await host.until(lambda: any("m2" in request.ids for request in host.seen))
    world.settings["request_classes"] = CLASSES[:1]
    await world.kill_and_restart()  # the last file dropped the class; both messages were in flight
    assert (await world.directory.notice("m2"))["result"] == "dead"
    await host.until(lambda: sum("m1" in request.ids for request in host.seen) == 3)
    assert sum("m2" in request.ids for request in host.seen) == 1


async def test_removed_class_is_rejected_after_reload(world: World) -> None:
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


def corrupt(path: str, value: Any) -> Any:
    """Return a function that sets one value in the configuration, or deletes its key for ``None``."""

    def apply_change(config: dict[str, Any]) -> None:
        *parents, last = path.split(".")
        node: Any = config
        for step in parents:
            node = node[int(step)] if isinstance(node, list) else node[step]
        if value is None:
            del node[last]
        else:
            node[last] = value

    return apply_change


INVALID_COUNTS: tuple[Any, ...] = (0, -1, "x", 2.5, True, [], {})
INVALID_TIMES: tuple[Any, ...] = (
    None, 0, -5, "", "soon", 1.5, False, [1], {"a": 1}, float("nan"), float("inf"),
)  # fmt: skip
INVALID_CHANGES = [
    *(corrupt(key, None) for key in ("settings", "discovery", "listen", "limits", "seed", "known", "name")),
    *(corrupt(f"settings.{key}", None) for key in ("allowed", "request_classes", "rules", "round_us")),
    *(
        corrupt(f"settings.allowed.{key}", None)
        for key in ("most_tries", "open_cap", "keepalive_us", "cancel")
    ),
    *(corrupt("settings.allowed.most_tries", bad) for bad in INVALID_COUNTS),
    *(corrupt("settings.request_classes.1.deadline_us", bad) for bad in INVALID_TIMES),
    *(corrupt(f"settings.request_classes.2.{key}", None) for key in ("name", "effect", "aim_us", "worth")),
    corrupt("settings.request_classes.1.effect", "dangerous"),
    corrupt("settings.request_classes.1.name", "keyed"),
    corrupt("settings.request_classes", []),
    corrupt("settings.request_classes", {}),
    corrupt("settings", []),
    corrupt("discovery", "nowhere"),
    corrupt("limits", 3),
]


async def test_invalid_file_is_rejected_as_a_whole(world: World) -> None:
    """Each invalid file also names another directory and one more class; neither takes effect."""
    host = await world.add("h1")
    console = world.open_console()
    client = await world.run()
    await world.directory.until(lambda: world.directory.seen)
    before = json.loads((world.folder / "config.json").read_text(encoding="utf-8"))
    original_directory = world.directory
    elsewhere = await world.move_directory()
    for number, change in enumerate(INVALID_CHANGES):
        config = copy.deepcopy(before)
        config["discovery"] = f"127.0.0.1:{world.directory.port}"
        config["settings"]["request_classes"].append(NEW_CLASS)
        change(config)
        await world.reload(json.dumps(config))
        await wait_for_counter(console, "conf_invalid_total", number + 1)
    assert await client.submit("m1", "new") == b"-ERR unknown class"
    assert await client.submit("m2") == b"+OK"
    await host.call(0)
    assert not any(request.method == "GET" for request in world.directory.seen)
    assert elsewhere is original_directory
    await world.reload()  # a valid file is still applied
    await wait_for_counter(console, "conf_loaded_total", 1)


async def test_unchanged_reload_counts_as_loaded(world: World) -> None:
    console = world.open_console()
    await world.run()
    for number in (1, 2):
        await world.reload()
        await wait_for_counter(console, "conf_loaded_total", number)


@pytest.mark.parametrize(
    ("value", "expected"),
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
def test_missing_keys_are_named(value: Any, expected: list[str]) -> None:
    shape = key_shape({"a": 1, "b": {"c": 2}, "d": [{"e": 1, "f": 2}, {"e": 3}]})
    assert list(missing_keys(value, shape)) == expected


def test_journal_keeps_rules_only_while_in_use(tmp_path: Path) -> None:
    """Frequent changes of the settings must fill neither the journal nor memory."""
    journal = Journal(tmp_path, 1_000_000, POSIX.disk)
    first = journal.rules_number({"name": "first"}, ())
    journal.accept("m1", {"rules": first}, b"")
    for number in range(1000):
        last = journal.rules_number({"name": f"n{number}"}, (first,))
    assert len(journal.rules) <= MAX_RULES + 2
    journal.close()
    reopened = Journal(tmp_path, 1_000_000, POSIX.disk)
    assert reopened.rules[first] == {"name": "first"}
    assert reopened.rules_number({"name": "n999"}, ()) == last


def test_message_keeps_attempts_and_effect_of_its_arrival() -> None:
    relay = DecisionEngine(settings(max_attempts=3), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    (first,) = sends(relay.step(SECOND, [arrival("a", SAFE)]))
    unsafe = api.MessageClass(SAFE.name, api.Effect.UNSAFE, SECOND, 6 * SECOND)
    fewer = settings(max_attempts=1, classes=(unsafe,))
    relay.step(2 * SECOND, [api.SettingsChanged(fewer)])
    actions_now = relay.step(2 * SECOND + 1, [attempt_outcome(first, api.Verdict.ERROR)])
    now = 2 * SECOND
    while not (again := sends(actions_now)):  # repeated: it was accepted as safe, with three attempts
        now += 50_000
        assert now < 6 * SECOND
        actions_now = relay.step(now, [api.TimerDue()])
    actions_now = relay.step(now + 1, [arrival("b", SAFE), attempt_outcome(again[0], attempt=1)])
    while not (new := sends(actions_now)):  # after a failure and a success the endpoint may be cold
        now += 50_000
        assert now < 8 * SECOND
        actions_now = relay.step(now, [api.TimerDue()])
    actions = relay.step(now + 2, [attempt_outcome(new[0], api.Verdict.ERROR)])
    assert [type(action) for action in actions if isinstance(action, api.Fail | api.Refuse)] == [api.Fail]


def test_recovered_rules_need_no_configured_class() -> None:
    relay = DecisionEngine(settings(classes=(SAFE,)), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    recovered = api.Arrival("a", 1, "gone", 9 * SECOND, rules=api.DeliveryRules(KEYED, 2))
    assert len(sends(relay.step(SECOND, [recovered]))) == 1
    assert sends(relay.step(SECOND, [api.Arrival("b", 1, "gone", 9 * SECOND)])) == []


def test_engine_does_not_accumulate_rules() -> None:
    relay = DecisionEngine(settings(), 1)
    for number in range(1000):
        cls = api.MessageClass(f"c{number}", api.Effect.SAFE, SECOND, 6 * SECOND)
        relay.step(number, [api.SettingsChanged(settings(classes=(cls,)))])
    assert len(relay.compiled_rules) <= 66
