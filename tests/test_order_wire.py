"""An attempt is not over while its call is open: the next message with its order key waits until then."""

from __future__ import annotations

import pytest

from mossfront import DecisionEngine
from mossfront import interface as api
from tests.support import ORDERED, SECOND, arrival, attempt_outcome, endpoint_update, entry, sends, settings


@pytest.mark.parametrize("still_out", [False, True])
def test_the_next_message_of_a_key_waits_for_an_open_call(still_out: bool) -> None:
    relay = DecisionEngine(settings(order_pause_us=0, round_us=1000), 1)
    relay.step(0, [endpoint_update(entry("h1", 1, "plain"), entry("h2", 1, "plain"))])
    first = sends(relay.step(0, [arrival("a", ORDERED, key="k")]))
    assert [send.id for send in first] == ["a"]
    relay.step(1000, [arrival("b", ORDERED, key="k")])
    outcome = api.Outcome("a", 0, first[0].host, api.Verdict.TIMEOUT, 100_000, call_continues=still_out)
    again = sends(relay.step(100_000, [outcome, api.MessageWithdrawn("a")]))
    again += sends(relay.step(SECOND, [api.TimerDue()]))
    assert [send.id for send in again] == ([] if still_out else ["b"])
    released = sends(relay.step(2 * SECOND, [api.CallEnded("a", 0)]))
    assert [send.id for send in released] == (["b"] if still_out else [])


def test_an_outage_recorded_before_a_restart_continues() -> None:
    """A new process sends all held messages at once; one that recovered the outage makes one trial call."""
    counts = []
    for records in ([], [api.OutageRecord("h1", 20 * SECOND)]):
        relay = DecisionEngine(settings(round_us=1000), 1)
        relay.step(0, [endpoint_update(entry("h1", 1, "plain")), *records])
        arrivals = [arrival(f"m{number}", ORDERED, key=f"k{number}") for number in range(4)]
        made = sends(relay.step(1000, arrivals))
        for at in range(1, 20):
            made += sends(relay.step(at * SECOND // 10, [api.TimerDue()]))
        counts.append(len(made))
    assert counts[0] > 1
    assert counts[1] == 1


def test_a_later_timeout_does_not_release_the_key_while_the_first_call_is_open() -> None:
    """A second timeout overwrote the key's pause, while the first call was still open (seed 71224)."""
    relay = DecisionEngine(settings(round_us=1000), 1)
    relay.step(0, [endpoint_update(entry("h1"), entry("h2"))])
    first = sends(relay.step(1, [arrival("a", ORDERED, key="k"), arrival("b", ORDERED, key="k")]))
    timeout = api.Verdict.TIMEOUT
    lasting = api.Outcome("a", 0, first[0].host, timeout, 100_000, call_continues=True)
    second = sends(relay.step(SECOND, [lasting]))
    assert [send.id for send in second] == ["a"]  # the first message of the key may be repeated at once
    third = sends(relay.step(2 * SECOND, [attempt_outcome(second[0], timeout, attempt=1)]))
    assert [send.id for send in third] == ["a"]
    over = relay.step(3 * SECOND, [attempt_outcome(third[0], attempt=2)])
    later = [send.id for at in range(4, 8) for send in sends(relay.step(at * SECOND, []))]
    assert [send.id for send in sends(over)] + later == []
    relay.step(8 * SECOND, [api.CallEnded("a", 0)])
    freed = [send.id for send in sends(relay.step(9 * SECOND, [api.TimerDue()]))]
    assert freed == ["b"]
