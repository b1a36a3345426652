"""Tables of hosts, destinations and messages stay bounded under churn (entries, not memory)."""

from __future__ import annotations

from typing import Any

from mallowlug.core.model import EndpointList, ResolvedEndpoint
from mallowlug.partners.http_calls import HttpPartners
from mallowlug.partners.pool import PoolLimits
from mallowlug.system import POSIX
from mossfront import interface as api
from mossfront.engine import FORGET_GONE_HOST_US, DecisionEngine
from tests.support import SAFE, SECOND, endpoint_update, entry, sends, settings


def changes(*entries: api.EndpointEntry) -> api.EndpointUpdate:
    """Return an endpoint list change."""
    return api.EndpointUpdate(api.EndpointUpdateKind.CHANGES, entries)


def arrival(ref: str, dest: int = 1, left_us: int = 3600 * SECOND) -> api.Arrival:
    """Return a message, by default with an hour left."""
    return api.Arrival(ref, dest, SAFE.name, left_us)


def replace_hosts(engine: DecisionEngine, rounds: int) -> None:
    """Replace hosts under new ids, each with one delivery, some at a new destination."""
    for number in range(rounds):
        now, dest = number * SECOND, 1 + number % 3 + (number // 100) * 3
        engine.step(now, [changes(entry(f"h{number}", dest=dest))])
        [send] = sends(engine.step(now + 1000, [arrival(f"m{number}", dest)]))
        done = api.Outcome(send.id, 0, send.host, api.Verdict.OK, 1000, True)
        gone = entry(f"h{number}", dest=dest, listing=api.Listing.GONE)
        engine.step(now + 2000, [done, changes(gone)])


def test_removed_hosts_and_destinations_are_forgotten() -> None:
    relay = DecisionEngine(settings(), 1)
    replace_hosts(relay, 400)
    max_hosts = FORGET_GONE_HOST_US // SECOND + 2
    assert len(relay.endpoints) <= max_hosts
    assert len(relay.destinations) <= 6
    assert sum(len(dest.endpoints) for dest in relay.destinations.values()) == len(relay.endpoints)
    assert relay.messages == {}
    assert len(relay.expiry_queue) <= 66
    assert len(relay.recheck_queue) <= max_hosts


def test_a_wait_outlasts_the_listing_of_its_host() -> None:
    """A wait applies to the host even if it is listed again under its id much later."""
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    [send] = sends(relay.step(1000, [arrival("m1")]))
    refusal = api.Outcome(send.id, 0, "h1", api.Verdict.FULL, 1000, retry_after_us=500 * SECOND)
    relay.step(2000, [refusal, changes(entry("h1", listing=api.Listing.GONE))])
    relay.step(100 * SECOND, [changes(entry("h2", dest=2))])
    assert sends(relay.step(101 * SECOND, [changes(entry("h1"))])) == []
    relay.step(502 * SECOND, [changes(entry("h3", dest=3))])
    credit_times_us = range(502 * SECOND, 502 * SECOND + relay.budget.time_per_call_us, SECOND // 10)
    hosts = [send.host for at_us in credit_times_us for send in sends(relay.step(at_us, [api.TimerDue()]))]
    assert hosts == ["h1"], "its only call is earned by time"


def test_a_call_in_flight_keeps_its_host() -> None:
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    [send] = sends(relay.step(1000, [arrival("m1")]))
    relay.step(2000, [changes(entry("h1", listing=api.Listing.GONE))])
    relay.step(90 * SECOND, [changes(entry("h2", dest=2))])
    assert "h1" in relay.endpoints
    relay.step(91 * SECOND, [api.Outcome(send.id, 0, "h1", api.Verdict.OK, 1000, True)])
    relay.step(200 * SECOND, [changes(entry("h2", dest=2))])
    assert "h1" not in relay.endpoints


def test_a_wait_queues_one_recheck_of_its_destination() -> None:
    """Each arrival checks its destination: a queued recheck for each would add up while the wait lasts."""
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    [send] = sends(relay.step(1000, [arrival("m0")]))
    relay.step(2000, [api.Outcome(send.id, 0, "h1", api.Verdict.FULL, 1000, retry_after_us=500 * SECOND)])
    for number in range(1, 30):
        relay.step(2000 + number * 1000, [arrival(f"m{number}")])
    assert len(relay.recheck_queue) <= 2


async def test_expired_waits_are_dropped_at_the_next_list_change() -> None:
    callbacks: Any = {"settled": lambda *_: None, "released": lambda _part: None}
    hosts = HttpPartners([], 1_000_000, PoolLimits(15_000_000, 10), **callbacks, system=POSIX)
    hosts._waits = {f"h{number}": 0.0 for number in range(100)}
    hosts._waits["h100"] = float("inf")
    hosts.apply(EndpointList(1, False, (ResolvedEndpoint(entry("h1"), ("127.0.0.1", 1)),)))
    assert list(hosts._waits) == ["h100"]
