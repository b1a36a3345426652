"""What the relay makes of failures, siblings, lists and former lives, by its actions alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mossfront import DecisionEngine
from mossfront import interface as api
from mossfront.slow_start import Phase
from tests.support import SAFE, SECOND, arrival, ended, entry, roster, sends, settings

SPLIT = "split"  # a kind whose endpoints are routes of their own
GROUP = settings(group_size=50, max_calls=8)


def relay_with(*hosts: str, group: api.Settings = GROUP) -> DecisionEngine:
    """A relay of a group (of fifty) that knows these endpoints of one destination."""
    relay = DecisionEngine(group, 1)
    relay.step(0, [roster(*(entry(host, kind=SPLIT) for host in hosts))])
    return relay


def phase(relay: DecisionEngine, host: str) -> Phase:
    """What the relay takes an endpoint to be."""
    return relay.endpoints[host].own_limiter.slow_start.phase


def failed(
    relay: DecisionEngine, at_us: int, verdict: api.Verdict, wait_us: int = 0, took_us: int = 1000
) -> str:
    """A new message's call fails; the host that it went to."""
    [send] = sends(relay.step(at_us, [arrival(f"m{at_us}", SAFE)]))
    relay.step(at_us + took_us, [ended(send, verdict, took_us=took_us, wait_us=wait_us)])
    return send.host


def test_an_outage_casts_doubt_on_a_sibling_that_has_not_served() -> None:
    relay = relay_with("h1", "h2")
    out = failed(relay, SECOND, api.Verdict.FULL, wait_us=9 * SECOND)
    sibling = "h2" if out == "h1" else "h1"
    assert phase(relay, out) is Phase.DOWN and phase(relay, sibling) is Phase.SUSPECT


def test_a_first_failure_alone_casts_none() -> None:
    relay = relay_with("h1", "h2")
    out = failed(relay, SECOND, api.Verdict.CONNECT_FAILED)
    sibling = "h2" if out == "h1" else "h1"
    assert phase(relay, out) is Phase.SUSPECT and phase(relay, sibling) is Phase.HEALTHY


def test_what_hung_casts_doubt_and_frees_no_call() -> None:
    relay = relay_with("h1", "h2")
    failed(relay, SECOND, api.Verdict.RESET, took_us=2 * SECOND)
    assert {phase(relay, host) for host in ("h1", "h2")} == {Phase.SUSPECT}
    assert not any(relay.endpoints[host].own_limiter.slow_start._free(3 * SECOND) for host in ("h1", "h2"))


def frees_a_call(left: float | None) -> bool:
    """Whether a call is free behind a told wait, where refusals report that so much of a limit is left."""
    relay = relay_with("h1", group=settings(group_size=2, max_calls=8))
    [first] = sends(relay.step(SECOND, [arrival("m1", SAFE)]))
    relay.step(SECOND + 1000, [replace(ended(first, took_us=1000), limit_remaining=1.0, limit_per_s=4.0)])
    for at_us in (9 * SECOND, 15 * SECOND):  # of a limit that is used up the first refusal says nothing
        [send] = sends(relay.step(at_us, [arrival(f"m{at_us}", SAFE)]))
        refusal = ended(send, api.Verdict.FULL, took_us=1000, wait_us=SECOND)
        relay.step(at_us + 1000, [replace(refusal, limit_remaining=left, limit_per_s=4.0)])
        if phase(relay, "h1") is not Phase.HEALTHY:
            break
    assert phase(relay, "h1") is Phase.SUSPECT
    return relay.endpoints["h1"].own_limiter.slow_start._free(at_us + 1000 + SECOND)


def test_a_told_wait_frees_no_call_where_no_limit_is_reported_as_used_up() -> None:
    """A shut endpoint names one time to all senders: calls that confirm would all be made then."""
    assert not frees_a_call(left=None) and not frees_a_call(left=1.0)


def test_a_call_may_confirm_behind_the_wait_of_a_limit_that_is_used_up() -> None:
    assert frees_a_call(left=0.0)


@pytest.mark.parametrize(
    ("meanwhile", "after"), [(api.Listing.GONE, Phase.SUSPECT), (api.Listing.DRAINING, Phase.HEALTHY)]
)
def test_an_endpoint_that_was_gone_from_the_list_is_doubted_and_one_that_drained_is_not(
    meanwhile: api.Listing, after: Phase
) -> None:
    relay = relay_with("h1")
    for at_s, listing in ((5, meanwhile), (9, api.Listing.READY)):
        changed = roster(entry("h1", kind=SPLIT, listing=listing), kind=api.EndpointUpdateKind.CHANGES)
        relay.step(at_s * SECOND, [changed])
    assert phase(relay, "h1") is after


@pytest.mark.parametrize(
    ("kind", "known"),
    [
        (api.OutageRecordKind.OUTAGE, Phase.DOWN),
        (api.OutageRecordKind.SUSPICION, Phase.SUSPECT),
        (api.OutageRecordKind.RECOVERY, Phase.SLOW_START),
    ],
)
def test_a_restart_takes_up_the_phase_that_was_journaled(kind: api.OutageRecordKind, known: Phase) -> None:
    relay = relay_with("h1")
    relay.step(SECOND, [api.OutageRecord("h1", 5 * SECOND, kind, 0.5)])
    assert phase(relay, "h1") is known
    assert relay.endpoints["h1"].own_limiter.slow_start.served_share == 0.5


def test_a_limits_refusal_is_a_suspicion_for_a_later_life_until_a_call_is_served() -> None:
    """A shut endpoint may report its limit as used up: relays that all met it once may all be restarted."""
    relay = relay_with("h1", group=settings(group_size=1, max_calls=8))
    [first] = sends(relay.step(SECOND, [arrival("m1", SAFE)]))
    relay.step(SECOND + 1000, [replace(ended(first, took_us=1000), limit_remaining=0.5, limit_per_s=4.0)])
    [second] = sends(relay.step(2 * SECOND, [arrival("m2", SAFE)]))
    refusal = replace(ended(second, api.Verdict.FULL, took_us=1000), limit_remaining=0.0, limit_per_s=4.0)
    told = relay.step(2 * SECOND + 1000, [refusal])
    assert phase(relay, "h1") is Phase.HEALTHY
    assert [care.kind for care in told if isinstance(care, api.OutageRecord)] == [
        api.OutageRecordKind.SUSPICION
    ]
    [again] = sends(relay.step(4 * SECOND, [api.TimerDue()]))
    told = relay.step(4 * SECOND + 1000, [ended(again, attempt=1, took_us=1000)])
    assert [care.valid_for_us for care in told if isinstance(care, api.OutageRecord)] == [0]


def test_a_suspicion_in_a_slow_start_leaves_the_return_journaled() -> None:
    """As an outage it would let a later life begin the warm-up anew, however warm the endpoint is."""
    relay = relay_with("h1", group=settings(group_size=1, max_calls=8))
    relay.step(SECOND, [api.OutageRecord("h1", 11 * SECOND, api.OutageRecordKind.RECOVERY, 1.0)])
    assert phase(relay, "h1") is Phase.SLOW_START
    at_us, told = SECOND, list[api.Action]()
    while phase(relay, "h1") is Phase.SLOW_START:  # the first call may have to wait for its credit
        at_us += SECOND
        actions = relay.step(at_us, [arrival(f"m{at_us}", SAFE)])
        for send in sends(actions):
            told += relay.step(at_us + 1000, [ended(send, api.Verdict.RESET, took_us=1000)])
    assert phase(relay, "h1") is Phase.SUSPECT
    assert [action for action in told if isinstance(action, api.OutageRecord)] == []


def test_a_told_wait_is_journaled_beyond_its_end() -> None:
    relay = relay_with("h1")
    [send] = sends(relay.step(SECOND, [arrival("m1", SAFE)]))
    told = ended(send, api.Verdict.FULL, wait_us=40 * SECOND)
    cares = [action for action in relay.step(2 * SECOND, [told]) if isinstance(action, api.OutageRecord)]
    assert [care.kind for care in cares] == [api.OutageRecordKind.OUTAGE]
    assert cares[0].valid_for_us > 40 * SECOND + 30 * SECOND


def test_the_log_says_how_long_a_refusal_told_to_wait() -> None:
    relay = relay_with("h1")
    [send] = sends(relay.step(SECOND, [arrival("m1", SAFE)]))
    lines = relay.step(2 * SECOND, [ended(send, api.Verdict.FULL, wait_us=9 * SECOND)])
    assert api.Log("h1 healthy -> down: full, Retry-After 9.0 s (message m1)") in lines


def test_what_a_restart_found_earns_credit_over_its_time_and_not_at_once() -> None:
    """A hundred messages, as many relays would hold together, at an endpoint that was out."""
    relay = relay_with("h1")
    found = [
        api.Arrival(f"f{number}", 1, SAFE.name, 6 * SECOND, recovered_untried=True) for number in range(100)
    ]
    at_once = sends(relay.step(SECOND, [api.OutageRecord("h1", 99 * SECOND), *found]))
    later = [
        send for at_us in range(SECOND, 7 * SECOND, SECOND // 50)
        for send in sends(relay.step(at_us, [api.TimerDue()]))
    ]  # fmt: skip
    assert len(at_once) <= 3, "one call, of up to three messages"
    assert later, "some are tried"
