"""Destinations that sleep: the ones awake are always told the truth, and nothing that binds is slept away."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from pathlib import Path
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowlug.core.clock import Clock
from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.journal import Journal, StoredOutage
from mallowlug.core.listings import Listings
from mallowlug.core.metrics import Metrics
from mallowlug.core.model import EndpointList, ResolvedEndpoint
from mallowlug.core.ports import Adapters
from mallowlug.core.relay import RelayCore
from mallowlug.directory.discovery import SLICE, slices
from mallowlug.system import POSIX
from mossfront import interface as api
from mossfront.engine import DecisionEngine
from tests.support import SAFE, SECOND, endpoint_update, entry, sends, settings

KIND = api.EndpointUpdateKind
READY, DRAINING, GONE = api.Listing.READY, api.Listing.DRAINING, api.Listing.GONE


def listed(host: str, dest: int, listing: api.Listing = READY, port: int = 80) -> ResolvedEndpoint:
    """An endpoint of the list."""
    return ResolvedEndpoint(entry(host, dest, listing=listing), ("10.0.0.1", port))


class Follower:
    """What the partners' side makes of the news that it hears."""

    def __init__(self) -> None:
        self.known: dict[str, ResolvedEndpoint] = {}

    def hear(self, news: EndpointList) -> None:
        if news.full:
            self.known.clear()
        for one in news.hosts:
            self.known.pop(one.entry.host, None)
            if one.entry.listing is not GONE:
                self.known[one.entry.host] = one


def numbered(number: int, listing: api.Listing, port: int) -> ResolvedEndpoint:
    """One of twelve endpoints, two to a destination."""
    return listed(f"h{number}", number // 2, listing, port)


LISTINGS = st.sampled_from((READY, READY, DRAINING, GONE))
ENTRIES = st.lists(
    st.builds(numbered, st.integers(0, 11), LISTINGS, st.integers(1, 3)),
    max_size=6,
    unique_by=lambda one: one.entry.host,
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("changes"), ENTRIES),
        st.tuples(st.just("whole"), ENTRIES),
        st.tuples(st.just("use"), st.integers(0, 5)),
        st.tuples(st.just("rest"), st.just(0)),
    ),
    max_size=30,
)


@given(STEPS, st.integers(1, 3))
def test_those_awake_are_told_the_truth_and_nothing_else(steps: list[tuple[str, object]], awake: int) -> None:
    listings, follower = Listings(awake, 1.0), Follower()
    truth, used = Follower(), set[int]()
    for at_s, (what, told) in enumerate(steps):
        now_s = 0.6 * at_s
        if isinstance(told, list):
            news = EndpointList(at_s, what == "whole", tuple(told))
            truth.hear(news)
            follower.hear(listings.follow(news, now_s))
        elif what == "use" and isinstance(told, int):
            for _, news in listings.activate(told, now_s):
                follower.hear(news)
            used.add(told)
            assert dests_of(follower, told) == dests_of(truth, told)
        else:
            for dest in listings.idle_destinations(now_s):
                follower.hear(listings.deactivate(dest))
                used.discard(dest)
                assert dests_of(follower, dest) == {}
        for dest in range(6):
            assert (dest in listings) == bool(dests_of(truth, dest))
            known = dests_of(follower, dest)
            assert known == dests_of(truth, dest) or (known == {} and dest not in used)


def dests_of(follower: Follower, dest: int) -> dict[str, ResolvedEndpoint]:
    """What is known of one destination."""
    return {host: one for host, one in follower.known.items() if one.entry.dest == dest}


def test_only_what_is_unused_and_crowds_is_asked_to_sleep() -> None:
    listings = Listings(2, 60.0)
    listings.follow(EndpointList(1, True, tuple(listed(f"h{n}", n) for n in range(6))), 0.0)
    for dest in (2, 3, 4):
        list(listings.activate(dest, 10.0 + dest))
    assert listings.idle_destinations(59.0) == []
    assert listings.idle_destinations(61.0) == [0, 1]  # awake since the list came, and never used
    assert listings.idle_destinations(61.0) == []
    assert list(listings.activate(2, 62.0)) == []  # still awake: nobody has let go of it
    listings.deactivate(0)
    assert [later for later, _ in listings.activate(0, 63.0)] == [False]


@pytest.mark.parametrize(("cared", "heard"), [(("h1", "h2", "nobody"), {1, 3}), ((), {1})])
async def test_the_cares_of_a_former_life_wake_their_destinations(
    cared: tuple[str, ...], heard: set[int], tmp_path: Path
) -> None:
    """One destination may stay awake, the first; who cares must find the others awake as well."""
    clock_us = 10 * SECOND
    former = Journal(tmp_path, 1_000_000, POSIX.disk)
    for host in cared:
        former.record_outage(host, StoredOutage(clock_us + 20 * SECOND))
    former.close()
    follower, journal = Follower(), Journal(tmp_path, 1_000_000, POSIX.disk)
    partners = Mock(apply=follower.hear)
    driver = RelayCore(
        settings=settings(),
        seed=1,
        journal=journal,
        plugs=Adapters(lambda *_: partners, lambda *_: Mock(), lambda *_: Mock()),
        clock=Clock(clock_us, lambda: 0.0, lambda: True),
        listings=Listings(1, 60.0),
        figures=Metrics(()),
        outs=DisabledHosts(tmp_path, POSIX.disk),
        crashed=lambda error: pytest.fail(repr(error)),
    )
    driver.start(EndpointList(1, True, (listed("h1", 1), listed("h11", 2), listed("h2", 3))))
    driver.close()
    journal.close()
    assert {one.entry.dest for one in follower.known.values()} == heard


def test_a_sleeping_destination_of_two_endpoints_takes_less_than_600_bytes() -> None:
    """Counted by the allocator, over everything that the list leaves behind."""
    names = [(f"s-{dest:06x}{which}", dest) for dest in range(10_000) for which in "ab"]
    tracemalloc.start()
    try:
        listings, before = Listings(1, 60.0), tracemalloc.get_traced_memory()[0]
        hosts = (
            ResolvedEndpoint(entry(host, dest, zone="floor-2"), ("10.1.0.18", 6379)) for host, dest in names
        )
        listings.follow(EndpointList(1, True, tuple(hosts)), 0.0)
        held = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert len(listings) == 10_000
    assert held / 10_000 <= 600


def told(relay: DecisionEngine, verdict: api.Verdict, wait_us: int = 0) -> None:
    """A message to h1 and its outcome after 10 ms; what was given up or sent again is left as it stands."""
    [send] = sends(relay.step(0, [endpoint_update(entry("h1")), api.Arrival("m1", 1, SAFE.name, 2 * SECOND)]))
    relay.step(10_000, [api.Outcome("m1", 0, send.host, verdict, 10_000, verdict is api.Verdict.OK, wait_us)])


def refused(relay: DecisionEngine) -> None:
    told(relay, api.Verdict.FULL, 500 * SECOND)


def out(relay: DecisionEngine) -> None:
    relay.step(0, [endpoint_update(entry("h1")), api.Arrival("m1", 1, SAFE.name, 3600 * SECOND)])


def held(relay: DecisionEngine) -> None:
    relay.step(0, [api.Arrival("m1", 1, SAFE.name, 3600 * SECOND)])


def lost(relay: DecisionEngine) -> None:
    told(relay, api.Verdict.RESET)


def cared(relay: DecisionEngine) -> None:
    relay.step(0, [endpoint_update(entry("h1")), api.OutageRecord("h1", 400 * SECOND)])


def moved(relay: DecisionEngine) -> None:
    """A call is out at an endpoint that belongs to another destination by now."""
    out(relay)
    relay.step(SECOND, [api.EndpointUpdate(KIND.CHANGES, (entry("h1", dest=2),))])


@pytest.mark.parametrize("bind", [refused, out, held, lost, cared, moved])
def test_what_binds_is_not_slept_away(bind: Callable[[DecisionEngine], None]) -> None:
    """A told wait, a call, a held message, an outage, the care of a former life."""
    relay = DecisionEngine(settings(), 1)
    bind(relay)
    assert api.DestinationDeactivated(1) not in relay.step(100 * SECOND, [api.DestinationIdle(1)])
    assert 1 in relay.dests


def test_a_message_that_comes_with_the_question_keeps_its_destination() -> None:
    relay = DecisionEngine(settings(), 1)
    told(relay, api.Verdict.OK)
    events: list[api.Event] = [api.DestinationIdle(1), api.Arrival("m2", 1, SAFE.name, 2 * SECOND)]
    actions = relay.step(100 * SECOND, events)
    assert [send.id for send in sends(actions)] == ["m2"]
    assert api.DestinationDeactivated(1) not in actions


def test_one_that_nothing_binds_sleeps_and_wakes_as_it_was_listed() -> None:
    """What was listed all along starts in full again; what came later is met as if it were new."""
    relay = DecisionEngine(settings(), 1)
    told(relay, api.Verdict.OK)
    assert api.DestinationDeactivated(1) in relay.step(100 * SECOND, [api.DestinationIdle(1)])
    assert (relay.dests, relay.endpoints) == ({}, {})
    relay.step(101 * SECOND, [api.EndpointUpdate(KIND.REACTIVATED, (entry("h1"),))])
    relay.step(101 * SECOND, [api.EndpointUpdate(KIND.REACTIVATED, (entry("h2"),), added_later=True)])
    assert relay.endpoints["h1"].quota == relay.endpoints["h1"].start > 1
    assert relay.endpoints["h2"].quota == 1


def test_a_long_list_is_read_in_slices_and_heard_at_once() -> None:
    hosts = [
        {"host": f"h{n}", "dial": "10.0.0.1:80", "class": "lots", "block": n, "health": "SERVING"}
        for n in range(2 * SLICE + 1)
    ]
    *parts, whole = slices({"seq": 7, "whole": True, "hosts": [*hosts, {"host": "no address"}]})
    assert [part.hosts for part in parts] == [(), ()]
    assert [one.entry.host for one in whole.hosts] == [host["host"] for host in hosts]
    assert [len(news.hosts) for news in slices({"seq": 8, "whole": False, "hosts": []})] == [0]
