"""What a restart finds taken on and untried goes first, and is given up last."""

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

LOW = replace(SAFE, worth=0.1)


def found(ref: str, left_us: int = 5 * SECOND) -> api.Arrival:
    """A message that a restart has found, of a class that is worth little."""
    return replace(
        arrival(ref, LOW, time_left_us=left_us), rules=api.DeliveryRules(LOW, 4), recovered_untried=True
    )


def one_at_a_time() -> DecisionEngine:
    """A relay with a single slot, so that the order of calls is the order of choice."""
    return DecisionEngine(settings(max_calls=1, max_held_messages=6), 1)


def test_what_was_found_is_tried_before_what_came_since_and_is_worth_more() -> None:
    relay, order = one_at_a_time(), list[str]()
    events: list[api.Event] = [found("f1"), found("f2"), arrival("n1", UNSAFE), endpoint_update(entry("h1"))]
    for at in range(1, 5):
        sent = sends(relay.step(at * SECOND, [*events, api.TimerDue()]))
        order += [send.id for send in sent]
        events = [attempt_outcome(send) for send in sent]
    assert set(order[:2]) == {"f1", "f2"}
    assert order[2:] == ["n1"]


def test_of_what_was_found_whose_time_ends_first_goes_first() -> None:
    """So the most of it is tried, whatever each is worth."""
    relay, order = one_at_a_time(), list[str]()
    costly = replace(found("f2", 9 * SECOND), cls=UNSAFE.name, rules=api.DeliveryRules(UNSAFE, 4))
    events: list[api.Event] = [
        found("f3", 5_900_000),
        costly,
        found("f1", 4 * SECOND),
        endpoint_update(entry("h1")),
    ]
    for at in range(1, 4):
        sent = sends(relay.step(at * SECOND // 2, [*events, api.TimerDue()]))
        order += [send.id for send in sent]
        events = [attempt_outcome(send) for send in sent]
    assert order == ["f1", "f3", "f2"]


def test_once_tried_it_is_like_any_other() -> None:
    relay = one_at_a_time()
    first = sends(relay.step(0, [found("f1"), endpoint_update(entry("h1"))]))
    assert [send.id for send in first] == ["f1"]
    failed = attempt_outcome(first[0], api.Verdict.ERROR)
    again = sends(relay.step(SECOND, [failed, arrival("n1"), api.TimerDue()]))
    assert [send.id for send in again] == ["n1"]


def test_over_the_bound_what_came_since_is_given_up_first() -> None:
    relay = one_at_a_time()
    relay.step(0, [found("f1"), found("f2")])  # nobody is listed yet: all of it is held
    gone = relay.step(1000, [arrival(f"n{at}", UNSAFE) for at in range(5)])
    given = [action.id for action in gone if isinstance(action, api.Refuse | api.Fail)]
    assert len(given) == 2
    assert all(ref.startswith("n") for ref in given)


def test_where_all_was_found_the_bound_still_holds() -> None:
    relay = one_at_a_time()
    gone = relay.step(0, [found(f"f{at}") for at in range(7)])
    assert len([action for action in gone if isinstance(action, api.Refuse)]) == 2


@pytest.mark.parametrize("listed", ["known", "late"])
async def test_a_restart_tries_first_what_it_finds(world: World, listed: str) -> None:
    """Three taken on while the only slot hangs; behind a kill -9 they go before the next client's, by one
    slot at a time, whether the list is known at the start or comes only then.
    """
    world.settings["domain"]["calls_out"] = 1
    order: list[str] = []

    def noted(request: Request) -> None:
        order.extend(request.ids)
        delivered(request)

    host = await world.add("h1", silent)
    if listed == "known":
        world.known = list(world.directory.hosts.values())
    client = await world.run()
    await client.insist("hangs", "unsafe")
    await host.call(0)
    for ref in ("f1", "f2", "f3"):
        assert await client.hand_in(ref, "unsafe") == b"+OK"
    await world.kill()
    host.default = noted
    again = await world.run()
    for ref in ("n1", "n2"):
        assert await again.hand_in(ref, "safe") == b"+OK"
    await host.until(lambda: len(order) >= 5)
    assert sorted(order[:3]) == ["f1", "f2", "f3"]
    assert (await world.directory.notice("hangs"))["result"] == "dead"  # it may have run
