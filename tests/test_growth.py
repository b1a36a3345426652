"""What is kept of hosts, destinations, keys and messages under churn: sizes of tables, not of memory."""

from __future__ import annotations

from typing import Any

from mallowlug.core.model import EndpointList, ResolvedEndpoint
from mallowlug.partners.http_calls import Hosts
from mallowlug.system import POSIX
from mossfront import interface as api
from mossfront.engine import FORGET_US, DecisionEngine
from tests.support import SAFE, SECOND, endpoint_update, entry, sends, settings


def changes(*entries: api.EndpointEntry) -> api.EndpointUpdate:
    """What changed on the list."""
    return api.EndpointUpdate(api.EndpointUpdateKind.CHANGES, entries)


def arrival(ref: str, dest: int = 1, left_us: int = 3600 * SECOND) -> api.Arrival:
    """A message with an hour to go."""
    return api.Arrival(ref, dest, SAFE.name, left_us)


def replaced(relay: DecisionEngine, rounds: int) -> None:
    """Hosts are replaced under new ids, each with a delivery, some at a new destination."""
    for number in range(rounds):
        now, dest = number * SECOND, 1 + number % 3 + (number // 100) * 3
        relay.step(now, [changes(entry(f"h{number}", dest=dest))])
        [send] = sends(relay.step(now + 1000, [arrival(f"m{number}", dest)]))
        done = api.Outcome(send.id, 0, send.host, api.Verdict.OK, 1000, True)
        gone = entry(f"h{number}", dest=dest, listing=api.Listing.GONE)
        relay.step(now + 2000, [done, changes(gone)])


def test_hosts_and_destinations_that_are_gone_are_forgotten() -> None:
    relay = DecisionEngine(settings(), 1)
    replaced(relay, 400)
    kept = FORGET_US // SECOND + 2
    assert len(relay.endpoints) <= kept
    assert len(relay.dests) <= 6
    assert sum(len(dest.endpoints) for dest in relay.dests.values()) == len(relay.endpoints)
    assert relay.messages == {}
    assert len(relay.ends) <= 66
    assert len(relay.due) <= kept


def test_what_binds_outlasts_the_listing() -> None:
    """A wait holds for the host, also if it is listed again under its id long after."""
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    [send] = sends(relay.step(1000, [arrival("m1")]))
    told = api.Outcome(send.id, 0, "h1", api.Verdict.FULL, 1000, retry_after_us=500 * SECOND)
    relay.step(2000, [told, changes(entry("h1", listing=api.Listing.GONE))])
    relay.step(100 * SECOND, [changes(entry("h2", dest=2))])
    assert sends(relay.step(101 * SECOND, [changes(entry("h1"))])) == []
    relay.step(502 * SECOND, [changes(entry("h3", dest=3))])
    within_a_unit = range(502 * SECOND, 502 * SECOND + relay.budget.time_per_call_us, SECOND // 10)
    found = [send.host for at_us in within_a_unit for send in sends(relay.step(at_us, [api.TimerDue()]))]
    assert found == ["h1"], "its one call is earned by time"


def test_an_open_call_keeps_its_host() -> None:
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    [send] = sends(relay.step(1000, [arrival("m1")]))
    relay.step(2000, [changes(entry("h1", listing=api.Listing.GONE))])
    relay.step(90 * SECOND, [changes(entry("h2", dest=2))])
    assert "h1" in relay.endpoints
    relay.step(91 * SECOND, [api.Outcome(send.id, 0, "h1", api.Verdict.OK, 1000, True)])
    relay.step(200 * SECOND, [changes(entry("h2", dest=2))])
    assert "h1" not in relay.endpoints


def test_a_held_message_is_noted_once_for_a_wait() -> None:
    """Each arrival looks at its destination: one note each would grow for as long as the wait lasts."""
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    [send] = sends(relay.step(1000, [arrival("m0")]))
    relay.step(2000, [api.Outcome(send.id, 0, "h1", api.Verdict.FULL, 1000, retry_after_us=500 * SECOND)])
    for number in range(1, 30):
        relay.step(2000 + number * 1000, [arrival(f"m{number}")])
    assert len(relay.due) <= 2


async def test_waits_that_are_over_are_forgotten_with_the_next_news() -> None:
    ends: Any = {"settled": lambda *_: None, "released": lambda _part: None}
    hosts = Hosts([], 15_000_000, 1_000_000, 10, **ends, system=POSIX)
    hosts._waits = {f"h{number}": 0.0 for number in range(100)}
    hosts._waits["h100"] = float("inf")
    hosts.apply(EndpointList(1, False, (ResolvedEndpoint(entry("h1"), ("127.0.0.1", 1)),)))
    assert list(hosts._waits) == ["h100"]
