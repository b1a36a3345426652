"""Messages that were tried before a restart."""

from __future__ import annotations

from mossfront import interface as api
from mossfront.engine import DecisionEngine
from tests.support import (
    ORDERED,
    SECOND,
    UNSAFE,
    ZONED,
    attempt_outcome,
    endpoint_update,
    entry,
    sends,
    settings,
)


def recovered_arrival(
    cls: api.MessageClass, age_us: int = 1000, zone: str = "a", key: str = ""
) -> api.Arrival:
    """Return a recovered message with one in-doubt attempt."""
    return api.Arrival("m1", 1, cls.name, 10 * SECOND, "", key, 1, age_us, zone)


def test_a_keyed_message_in_doubt_goes_only_to_the_zone_of_its_first_attempt() -> None:
    relay = DecisionEngine(settings(zone_fees={"a": 0.5, "b": 0.0}), 1)
    hosts = endpoint_update(entry("h1", zone="a"), entry("h2", zone="b"))
    assert [s.host for s in sends(relay.step(0, [hosts, recovered_arrival(ZONED)]))] == ["h1"]


def test_a_keyed_message_in_doubt_fails_after_its_window() -> None:
    relay = DecisionEngine(settings(), 1)
    actions = relay.step(
        20 * SECOND, [endpoint_update(entry("h1")), recovered_arrival(ZONED, ZONED.window_us)]
    )
    assert api.Fail("m1") in actions
    assert sends(actions) == []


def test_an_unsafe_message_in_doubt_fails() -> None:
    actions = DecisionEngine(settings(), 1).step(0, [endpoint_update(entry("h1")), recovered_arrival(UNSAFE)])
    assert api.Fail("m1") in actions
    assert sends(actions) == []


def test_attempts_before_the_restart_count() -> None:
    event = api.Arrival("m1", 1, UNSAFE.name, SECOND, attempts=settings().max_attempts)
    actions = DecisionEngine(settings(), 1).step(0, [endpoint_update(entry("h1")), event])
    assert [type(action) for action in actions if not isinstance(action, api.SetTimer)] == [api.Refuse]


def test_the_next_message_of_a_key_waits_after_an_attempt_before_the_restart() -> None:
    """The attempt from before the restart may still run at its host."""
    relay, pause_us = DecisionEngine(settings(), 1), settings().order_pause_us
    later = api.Arrival("m2", 1, ORDERED.name, 10 * SECOND, "", "k")
    first = sends(relay.step(0, [endpoint_update(entry("h1")), recovered_arrival(ORDERED, key="k"), later]))
    assert [send.id for send in first] == ["m1"]
    assert sends(relay.step(100_000, [attempt_outcome(first[0], attempt=1)])) == []
    assert sends(relay.step(pause_us - 1, [api.TimerDue()])) == []
    assert [send.id for send in sends(relay.step(pause_us, [api.TimerDue()]))] == ["m2"]
