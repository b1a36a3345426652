"""Groups of relays without shared state: what they send together, and what one relay checks per step."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from mossfront import interface as api
from mossfront.engine import DecisionEngine
from mossfront.state import Destination, Endpoint
from tests.checker import Checker
from tests.fleet import Fleet, Host, Tallies
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
from tests.test_failures import Feed, drive, steady_load

CONNECT_FAILED = api.Verdict.CONNECT_FAILED


def events_once(at_us: int, events: list[api.Event]) -> Feed:
    """Return a feed with these events at one time only."""
    return lambda now_us: events if now_us == at_us else []


def group_sends(size: int, relays: int, verdict: api.Verdict) -> list[int]:
    """Return the send times, at one destination, of relays with one message each whose calls fail."""
    times: list[int] = []
    for number in range(relays):
        checker = Checker(settings(group_size=size, max_calls=3, max_attempts=12), seed=number)
        hosts = [entry(f"h{n}", dest=n) for n in range(6)]
        checker.step(0, [endpoint_update(*hosts)])
        arrivals: list[api.Event] = [arrival(f"m{number}-{n}", KEYED, n) for n in range(6)]
        start_us = 20_000 * (1 + number)
        log = drive(checker, 16 * SECOND, events_once(start_us, arrivals), lambda *_: (verdict, 20_000))
        times += [at_us for at_us, send in log if send.host == "h0"]
    return sorted(times)


@pytest.mark.parametrize("size", [40, 300])
def test_trial_calls_of_many_low_traffic_relays_stay_few(size: int) -> None:
    """Two or three trial calls from each relay with one message would together overload the endpoint."""
    times = group_sends(size, 40, CONNECT_FAILED)
    late = [at_us for at_us in times if at_us > 8 * SECOND]
    window = max((sum(at <= t < at + 2 * SECOND for t in late) for at in late), default=0)
    assert window <= 12, "at most a third of the 40 relays that hold a message in any window of fall_us"


def test_the_send_rate_follows_the_reported_share_left() -> None:
    def send_rate(share_left: float | None) -> float:
        relay = DecisionEngine(settings(group_size=40), seed=1)
        [send] = sends(relay.step(0, [endpoint_update(entry("h1")), arrival("m1")]))
        outcome = api.Outcome("m1", 0, send.host, api.Verdict.OK, 1000, True, 0, share_left, 20.0)
        relay.step(1000, [outcome])
        return relay.endpoints["h1"].rate_limiter.send_rate

    assert send_rate(0.01) < send_rate(0.3) < 0.5 < send_rate(0.9), "around an equal share, the initial rate"
    assert send_rate(7.0) == send_rate(-1.0) == send_rate(None), "a share out of range counts as not reported"


def test_a_class_that_fails_at_one_endpoint_goes_to_its_sibling() -> None:
    checker = Checker(settings(max_held_messages=500))
    checker.step(0, [endpoint_update(entry("h1"), entry("h2"))])

    def answer(_now_us: int, send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        failing = send.host == "h1" and checker.messages[send.id].cls is KEYED
        return (api.Verdict.ERROR if failing else api.Verdict.OK), 80_000

    both = (steady_load(100_000, KEYED), steady_load(100_000, SAFE))
    log = drive(checker, 12 * SECOND, lambda now_us: both[0](now_us) + both[1](now_us), answer)
    late = [send for at_us, send in log if at_us > 4 * SECOND]
    keyed = [send.host for send in late if checker.messages[send.id].cls is KEYED]
    assert keyed.count("h1") <= 0.1 * len(keyed)
    assert any(send.host == "h1" for send in late if checker.messages[send.id].cls is SAFE)


def test_a_busy_relay_in_a_large_group_exceeds_its_equal_share() -> None:
    checker = Checker(settings(group_size=300, rate_hints_given=True, max_held_messages=500))
    checker.step(0, [endpoint_update(entry("h1", rate_hint=20.0))])
    log = drive(checker, 10 * SECOND, steady_load(200_000), lambda *_: (api.Verdict.OK, 80_000))
    assert len(log) >= 45, "five per second, although an equal share is one in fifteen seconds"


def checked_endpoints(dests: int) -> int:
    """Count the endpoints checked for one message while the other destinations are idle."""
    relay = DecisionEngine(settings(), seed=1)
    relay.step(0, [endpoint_update(*(entry(f"h{n}", dest=n) for n in range(dests)))])
    checked_hosts: list[str] = []
    has_capacity = relay._has_capacity

    def counted(dest: Destination, endpoint: Endpoint) -> bool:
        checked_hosts.append(endpoint.host)
        return has_capacity(dest, endpoint)

    relay._has_capacity = counted  # type: ignore[method-assign]
    [send] = sends(relay.step(20_000, [arrival("m1", dest=1)]))
    relay.step(120_000, [attempt_outcome(send)])
    return len(checked_hosts)


def test_work_per_step_does_not_grow_with_the_number_of_destinations() -> None:
    assert checked_endpoints(400) == checked_endpoints(4) > 0


def run_fleet(use_whole_limit: bool = False) -> Tallies:
    """Run forty low-traffic relays, with endpoints that take 9, 26 and 20 calls/s."""
    hosts = [Host("small", 1, 9.0), Host("large", 1, 26.0), Host("bank", 2, 20.0, "bank")]
    make = WholeLimitEngine if use_whole_limit else DecisionEngine
    return Fleet(hosts, {1: 33.0, 2: 45.0}, make=make, seed=3).simulate(20.0)


class WholeLimitEngine(DecisionEngine):
    """Seeded fault: each relay takes the whole limit, whatever is reported of the others."""

    def _equal_share(self, count: float) -> float:
        return 1.0

    def _suspect_outage(self, *_: object) -> None:
        """A refusal has no effect beyond its wait."""


def test_forty_relays_do_not_keep_a_limit_that_counts_refusals_used_up() -> None:
    """In a large group more calls were refused than served, as each relay came back when its wait ended."""
    normal, overloading = run_fleet(), run_fleet(use_whole_limit=True)
    assert normal.refused < 0.3
    assert overloading.refused > 0.5
    assert normal.served > overloading.served + 0.2


def notified_relays(relays: int, capacity: int, length_s: int) -> int:
    """Count the relays that receive the list after all started at once.

    The directory serves subscriptions one by one, ``capacity`` per second. One that waited for more than a
    second has failed, but still takes its service time.
    """
    config = settings(group_size=relays, must_subscribe=True, ask_within_us=10 * SECOND)
    group = [DecisionEngine(config, n) for n in range(relays)]
    known = endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED)
    inbox: dict[int, list[api.Event]] = {n: [known] for n in range(relays)}
    queue: list[tuple[int, int]] = []
    notified = set[int]()
    service_us = SECOND // capacity
    for now_us in range(0, length_s * SECOND, 20_000):
        for number, relay in enumerate(group):
            actions = relay.step(now_us, inbox.pop(number, []))
            queue += [(now_us, number) for action in actions if isinstance(action, api.Subscribe)]
        if queue and now_us % service_us < 20_000:
            subscribed_us, number = queue.pop(0)
            late = now_us - subscribed_us > SECOND
            kind = api.EndpointUpdateKind.FAILED if late else api.EndpointUpdateKind.FULL
            inbox[number] = [endpoint_update(entry("h1"), kind=kind)]
            notified |= set() if late else {number}
    return len(notified)


def test_subscriptions_of_many_relays_started_at_once_do_not_overload_the_directory() -> None:
    """After a mass restart some relays had no list for 16 s: all subscribed and failed at the same times."""
    assert notified_relays(40, 8, 12) == 40
    assert notified_relays(3, 8, 1) == 3, "a small group needs no spread"


class ClosedConnectionsChecker(Checker):
    """Records the hosts whose idle connections are closed."""

    closed: tuple[str, ...] = ()

    def step(self, now_us: int, events: Sequence[api.Event] = ()) -> list[api.Action]:
        actions = super().step(now_us, events)
        self.closed += tuple(action.host for action in actions if isinstance(action, api.CloseIdle))
        return actions


def test_an_outage_is_not_taken_for_full_connection_tables() -> None:
    """While some destinations refused connections, idle connections to all others were closed after calls."""
    checker = ClosedConnectionsChecker(settings(max_held_messages=500))
    checker.step(0, [endpoint_update(*(entry(f"h{n}", dest=n) for n in range(8)))])

    def answer(_now_us: int, send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        return (api.Verdict.OK if send.host == "h0" else CONNECT_FAILED), 40_000

    log = drive(checker, 8 * SECOND, steady_load(200_000, dests=tuple(range(8))), answer)
    assert sum(send.host != "h0" for _, send in log) >= 12, "trial calls go on"
    assert checker.closed.count("h0") <= 4, "only until the others are known to be down"
