"""Messages recovered by a restart without an attempt are sent first and given up last."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mossfront import DecisionEngine
from mossfront import interface as api
from tests.support import (
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
from tests.world import Request, World, delivered, silent

LOW_WORTH = replace(SAFE, worth=0.1)


def recovered(message_id: str, left_us: int = 5 * SECOND) -> api.Arrival:
    """A message recovered without an attempt, of a class of low worth."""
    return replace(
        arrival(message_id, LOW_WORTH, time_left_us=left_us),
        rules=api.DeliveryRules(LOW_WORTH, 4),
        recovered_untried=True,
    )


def single_slot_engine() -> DecisionEngine:
    """An engine with a single call slot, so that the order of calls is the order of choice."""
    return DecisionEngine(settings(max_calls=1, max_held_messages=6), 1)


def test_recovered_messages_go_before_newer_ones_of_greater_worth() -> None:
    relay, order = single_slot_engine(), list[str]()
    events: list[api.Event] = [
        recovered("f1"),
        recovered("f2"),
        arrival("n1", UNSAFE),
        endpoint_update(entry("h1")),
    ]
    for at in range(1, 5):
        sent = sends(relay.step(at * SECOND, [*events, api.TimerDue()]))
        order += [send.id for send in sent]
        events = [attempt_outcome(send) for send in sent]
    assert set(order[:2]) == {"f1", "f2"}
    assert order[2:] == ["n1"]


def test_recovered_messages_go_in_the_order_of_their_deadlines() -> None:
    """The earliest deadline goes first, so that most of them are tried, whatever each is worth."""
    relay, order = single_slot_engine(), list[str]()
    costly = replace(recovered("f2", 9 * SECOND), cls=UNSAFE.name, rules=api.DeliveryRules(UNSAFE, 4))
    events: list[api.Event] = [
        recovered("f3", 5_900_000),
        costly,
        recovered("f1", 4 * SECOND),
        endpoint_update(entry("h1")),
    ]
    for at in range(1, 4):
        sent = sends(relay.step(at * SECOND // 2, [*events, api.TimerDue()]))
        order += [send.id for send in sent]
        events = [attempt_outcome(send) for send in sent]
    assert order == ["f1", "f3", "f2"]


def test_recovered_message_has_no_priority_after_its_first_attempt() -> None:
    relay = single_slot_engine()
    first = sends(relay.step(0, [recovered("f1"), endpoint_update(entry("h1"))]))
    assert [send.id for send in first] == ["f1"]
    failed = attempt_outcome(first[0], api.Verdict.ERROR)
    again = sends(relay.step(SECOND, [failed, arrival("n1"), api.TimerDue()]))
    assert [send.id for send in again] == ["n1"]


def test_newer_messages_are_given_up_before_recovered_ones() -> None:
    relay = single_slot_engine()
    relay.step(0, [recovered("f1"), recovered("f2")])  # no endpoint is listed yet: all messages are held
    gone = relay.step(1000, [arrival(f"n{at}", UNSAFE) for at in range(5)])
    given = [action.id for action in gone if isinstance(action, api.Refuse | api.Fail)]
    assert len(given) == 2
    assert all(ref.startswith("n") for ref in given)


def test_backlog_limit_also_holds_for_recovered_messages() -> None:
    relay = single_slot_engine()
    gone = relay.step(0, [recovered(f"f{at}") for at in range(7)])
    assert len([action for action in gone if isinstance(action, api.Refuse)]) == 2


@pytest.mark.parametrize("listed", ["known", "late"])
async def test_restart_tries_recovered_messages_first(world: World, listed: str) -> None:
    """Three messages are accepted while the only slot is busy. After a SIGKILL they go before newer ones, one
    at a time, whether the list is known at the start or arrives later.
    """
    world.settings["domain"]["calls_out"] = 1
    order: list[str] = []

    def noted(request: Request) -> None:
        order.extend(request.ids)
        delivered(request)

    host = await world.add("h1", silent)
    if listed == "known":
        world.known_hosts = list(world.directory.hosts.values())
    client = await world.run()
    await client.submit_until_accepted("hangs", "unsafe")
    await host.call(0)
    for ref in ("f1", "f2", "f3"):
        assert await client.submit(ref, "unsafe") == b"+OK"
    await world.kill()
    host.default = noted
    again = await world.run()
    for ref in ("n1", "n2"):
        assert await again.submit(ref, "safe") == b"+OK"
    await host.until(lambda: len(order) >= 5)
    assert sorted(order[:3]) == ["f1", "f2", "f3"]
    assert (await world.directory.notice("hangs"))["result"] == "dead"  # in doubt
