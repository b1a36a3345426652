"""Active destinations match the list, and no destination with state is deactivated."""

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
from mallowlug.core.journal import Journal
from mallowlug.core.listings import Listings
from mallowlug.core.metrics import Metrics
from mallowlug.core.model import EndpointList, ResolvedEndpoint
from mallowlug.core.ports import Adapters
from mallowlug.core.recovered_state import StoredOutage
from mallowlug.core.relay import RelayCore
from mallowlug.directory.discovery import SLICE_HOSTS, parse_in_slices
from mallowlug.system import POSIX
from mossfront import interface as api
from mossfront.engine import DecisionEngine
from tests.support import SAFE, SECOND, endpoint_update, entry, sends, settings

KIND = api.EndpointUpdateKind
READY, DRAINING, GONE = api.Listing.READY, api.Listing.DRAINING, api.Listing.GONE


def resolved(host: str, dest: int, listing: api.Listing = READY, port: int = 80) -> ResolvedEndpoint:
    """An endpoint of the list, with an address."""
    return ResolvedEndpoint(entry(host, dest, listing=listing), ("10.0.0.1", port))


class ListFollower:
    """The endpoints that the partners adapter knows after the updates it received."""

    def __init__(self) -> None:
        self.endpoints: dict[str, ResolvedEndpoint] = {}

    def apply(self, news: EndpointList) -> None:
        if news.full:
            self.endpoints.clear()
        for one in news.hosts:
            self.endpoints.pop(one.entry.host, None)
            if one.entry.listing is not GONE:
                self.endpoints[one.entry.host] = one


def numbered_endpoint(number: int, listing: api.Listing, port: int) -> ResolvedEndpoint:
    """One of twelve endpoints, two per destination."""
    return resolved(f"h{number}", number // 2, listing, port)


LISTINGS = st.sampled_from((READY, READY, DRAINING, GONE))
ENTRIES = st.lists(
    st.builds(numbered_endpoint, st.integers(0, 11), LISTINGS, st.integers(1, 3)),
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
def test_active_destinations_match_the_list_and_others_are_unknown(
    steps: list[tuple[str, object]], awake: int
) -> None:
    listings, follower = Listings(awake, 1.0), ListFollower()
    truth, used = ListFollower(), set[int]()
    for at_s, (what, argument) in enumerate(steps):
        now_s = 0.6 * at_s
        if isinstance(argument, list):
            news = EndpointList(at_s, what == "whole", tuple(argument))
            truth.apply(news)
            follower.apply(listings.apply(news, now_s))
        elif what == "use" and isinstance(argument, int):
            for _, news in listings.activate(argument, now_s):
                follower.apply(news)
            used.add(argument)
            assert endpoints_of(follower, argument) == endpoints_of(truth, argument)
        else:
            for dest in listings.idle_destinations(now_s):
                follower.apply(listings.deactivate(dest))
                used.discard(dest)
                assert endpoints_of(follower, dest) == {}
        for dest in range(6):
            assert (dest in listings) == bool(endpoints_of(truth, dest))
            known = endpoints_of(follower, dest)
            assert known == endpoints_of(truth, dest) or (known == {} and dest not in used)


def endpoints_of(follower: ListFollower, dest: int) -> dict[str, ResolvedEndpoint]:
    """The known endpoints of one destination."""
    return {host: one for host, one in follower.endpoints.items() if one.entry.dest == dest}


def test_only_idle_destinations_beyond_the_limit_are_deactivated() -> None:
    listings = Listings(2, 60.0)
    listings.apply(EndpointList(1, True, tuple(resolved(f"h{n}", n) for n in range(6))), 0.0)
    for dest in (2, 3, 4):
        list(listings.activate(dest, 10.0 + dest))
    assert listings.idle_destinations(59.0) == []
    assert listings.idle_destinations(61.0) == [0, 1]  # active since the list arrived, and never used
    assert listings.idle_destinations(61.0) == []
    assert list(listings.activate(2, 62.0)) == []  # still active: it was not deactivated
    listings.deactivate(0)
    assert [later for later, _ in listings.activate(0, 63.0)] == [False]


@pytest.mark.parametrize(("outage_hosts", "expected_dests"), [(("h1", "h2", "nobody"), {1, 3}), ((), {1})])
async def test_recovered_outages_activate_their_destinations(
    outage_hosts: tuple[str, ...], expected_dests: set[int], tmp_path: Path
) -> None:
    """Only the first destination stays active by itself; those with recovered outages are activated."""
    clock_us = 10 * SECOND
    former = Journal(tmp_path, 1_000_000, POSIX.disk)
    for host in outage_hosts:
        former.record_outage(host, StoredOutage(clock_us + 20 * SECOND))
    former.close()
    follower, journal = ListFollower(), Journal(tmp_path, 1_000_000, POSIX.disk)
    partners = Mock(apply=follower.apply)
    core = RelayCore(
        settings=settings(),
        seed=1,
        journal=journal,
        adapters=Adapters(lambda *_: partners, lambda *_: Mock(), lambda *_: Mock()),
        clock=Clock(clock_us, lambda: 0.0, lambda: True),
        listings=Listings(1, 60.0),
        metrics=Metrics(()),
        disabled_hosts=DisabledHosts(tmp_path, POSIX.disk),
        on_crash=lambda error: pytest.fail(repr(error)),
    )
    core.start(EndpointList(1, True, (resolved("h1", 1), resolved("h11", 2), resolved("h2", 3))))
    core.close()
    journal.close()
    assert {one.entry.dest for one in follower.endpoints.values()} == expected_dests


def test_inactive_destination_of_two_endpoints_takes_less_than_600_bytes() -> None:
    """Measured by the allocator, over everything that the list keeps allocated."""
    names = [(f"s-{dest:06x}{which}", dest) for dest in range(10_000) for which in "ab"]
    tracemalloc.start()
    try:
        listings, before = Listings(1, 60.0), tracemalloc.get_traced_memory()[0]
        hosts = (
            ResolvedEndpoint(entry(host, dest, zone="floor-2"), ("10.1.0.18", 6379)) for host, dest in names
        )
        listings.apply(EndpointList(1, True, tuple(hosts)), 0.0)
        held = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert len(listings) == 10_000
    assert held / 10_000 <= 600


def run_one_message(relay: DecisionEngine, verdict: api.Verdict, wait_us: int = 0) -> None:
    """Send a message to h1 and report its outcome after 10 ms; further actions are not carried out."""
    [send] = sends(relay.step(0, [endpoint_update(entry("h1")), api.Arrival("m1", 1, SAFE.name, 2 * SECOND)]))
    relay.step(10_000, [api.Outcome("m1", 0, send.host, verdict, 10_000, verdict is api.Verdict.OK, wait_us)])


def with_retry_after_wait(relay: DecisionEngine) -> None:
    run_one_message(relay, api.Verdict.FULL, 500 * SECOND)


def with_open_call(relay: DecisionEngine) -> None:
    relay.step(0, [endpoint_update(entry("h1")), api.Arrival("m1", 1, SAFE.name, 3600 * SECOND)])


def with_held_message(relay: DecisionEngine) -> None:
    relay.step(0, [api.Arrival("m1", 1, SAFE.name, 3600 * SECOND)])


def with_lost_call(relay: DecisionEngine) -> None:
    run_one_message(relay, api.Verdict.RESET)


def with_outage_record(relay: DecisionEngine) -> None:
    relay.step(0, [endpoint_update(entry("h1")), api.OutageRecord("h1", 400 * SECOND)])


def with_call_at_moved_endpoint(relay: DecisionEngine) -> None:
    """A call is in progress at an endpoint that has moved to another destination."""
    with_open_call(relay)
    relay.step(SECOND, [api.EndpointUpdate(KIND.CHANGES, (entry("h1", dest=2),))])


@pytest.mark.parametrize(
    "set_up",
    [
        with_retry_after_wait,
        with_open_call,
        with_held_message,
        with_lost_call,
        with_outage_record,
        with_call_at_moved_endpoint,
    ],
)
def test_destination_with_state_is_not_deactivated(set_up: Callable[[DecisionEngine], None]) -> None:
    """State: a Retry-After wait, a call, a held message, an outage, a recovered outage record."""
    relay = DecisionEngine(settings(), 1)
    set_up(relay)
    assert api.DestinationDeactivated(1) not in relay.step(100 * SECOND, [api.DestinationIdle(1)])
    assert 1 in relay.destinations


def test_message_in_the_same_step_keeps_its_destination_active() -> None:
    relay = DecisionEngine(settings(), 1)
    run_one_message(relay, api.Verdict.OK)
    events: list[api.Event] = [api.DestinationIdle(1), api.Arrival("m2", 1, SAFE.name, 2 * SECOND)]
    actions = relay.step(100 * SECOND, events)
    assert [send.id for send in sends(actions)] == ["m2"]
    assert api.DestinationDeactivated(1) not in actions


def test_destination_without_state_is_deactivated_and_reactivated_as_listed() -> None:
    """Endpoints of the first list start at full quota again; ones added later start as if they were new."""
    relay = DecisionEngine(settings(), 1)
    run_one_message(relay, api.Verdict.OK)
    assert api.DestinationDeactivated(1) in relay.step(100 * SECOND, [api.DestinationIdle(1)])
    assert (relay.destinations, relay.endpoints) == ({}, {})
    relay.step(101 * SECOND, [api.EndpointUpdate(KIND.REACTIVATED, (entry("h1"),))])
    relay.step(101 * SECOND, [api.EndpointUpdate(KIND.REACTIVATED, (entry("h2"),), added_later=True)])
    assert relay.endpoints["h1"].quota == relay.endpoints["h1"].max_quota > 1
    assert relay.endpoints["h2"].quota == 1


def test_long_list_is_read_in_slices_and_applied_at_once() -> None:
    hosts = [
        {"host": f"h{n}", "dial": "10.0.0.1:80", "class": "lots", "block": n, "health": "SERVING"}
        for n in range(2 * SLICE_HOSTS + 1)
    ]
    *parts, whole = parse_in_slices({"seq": 7, "whole": True, "hosts": [*hosts, {"host": "no address"}]})
    assert [part.hosts for part in parts] == [(), ()]
    assert [one.entry.host for one in whole.hosts] == [host["host"] for host in hosts]
    assert [len(news.hosts) for news in parse_in_slices({"seq": 8, "whole": False, "hosts": []})] == [0]
