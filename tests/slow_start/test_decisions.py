"""The engine's phases and outage records after failures, sibling failures, list updates and restarts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mossfront import DecisionEngine
from mossfront import interface as api
from mossfront.slow_start import Phase
from tests.support import SAFE, SECOND, arrival, attempt_outcome, endpoint_update, entry, sends, settings

SPLIT = "split"  # a kind whose endpoints are separate routes
GROUP = settings(group_size=50, max_calls=8)


def relay_with(*hosts: str, group: api.Settings = GROUP) -> DecisionEngine:
    """Return a relay that knows these endpoints of one destination; its group has fifty by default."""
    relay = DecisionEngine(group, 1)
    relay.step(0, [endpoint_update(*(entry(host, kind=SPLIT) for host in hosts))])
    return relay


def phase(relay: DecisionEngine, host: str) -> Phase:
    """Return the phase of an endpoint at this relay."""
    return relay.endpoints[host].own_limiter.slow_start.phase


def fail_one_call(
    relay: DecisionEngine, at_us: int, verdict: api.Verdict, retry_after_us: int = 0, elapsed_us: int = 1000
) -> str:
    """Let a new message's call fail; return the host that it went to."""
    [send] = sends(relay.step(at_us, [arrival(f"m{at_us}", SAFE)]))
    relay.step(
        at_us + elapsed_us,
        [attempt_outcome(send, verdict, elapsed_us=elapsed_us, retry_after_us=retry_after_us)],
    )
    return send.host


def test_outage_makes_unserved_sibling_suspect() -> None:
    relay = relay_with("h1", "h2")
    failed_host = fail_one_call(relay, SECOND, api.Verdict.FULL, retry_after_us=9 * SECOND)
    sibling = "h2" if failed_host == "h1" else "h1"
    assert phase(relay, failed_host) is Phase.DOWN and phase(relay, sibling) is Phase.SUSPECT


def test_first_failure_leaves_sibling_healthy() -> None:
    relay = relay_with("h1", "h2")
    failed_host = fail_one_call(relay, SECOND, api.Verdict.CONNECT_FAILED)
    sibling = "h2" if failed_host == "h1" else "h1"
    assert phase(relay, failed_host) is Phase.SUSPECT and phase(relay, sibling) is Phase.HEALTHY


def test_hung_call_makes_all_suspect_and_no_call_free() -> None:
    relay = relay_with("h1", "h2")
    fail_one_call(relay, SECOND, api.Verdict.RESET, elapsed_us=2 * SECOND)
    assert {phase(relay, host) for host in ("h1", "h2")} == {Phase.SUSPECT}
    assert not any(
        relay.endpoints[host].own_limiter.slow_start._call_is_free(3 * SECOND) for host in ("h1", "h2")
    )


def call_is_free_after_refusal(limit_remaining: float | None) -> bool:
    """Whether a call is free after a Retry-After wait if refusals report so much of a limit remaining."""
    relay = relay_with("h1", group=settings(group_size=2, max_calls=8))
    [first] = sends(relay.step(SECOND, [arrival("m1", SAFE)]))
    relay.step(
        SECOND + 1000,
        [replace(attempt_outcome(first, elapsed_us=1000), limit_remaining=1.0, limit_per_s=4.0)],
    )
    for at_us in (9 * SECOND, 15 * SECOND):  # the first refusal of a used-up limit proves nothing
        [send] = sends(relay.step(at_us, [arrival(f"m{at_us}", SAFE)]))
        refusal = attempt_outcome(send, api.Verdict.FULL, elapsed_us=1000, retry_after_us=SECOND)
        relay.step(at_us + 1000, [replace(refusal, limit_remaining=limit_remaining, limit_per_s=4.0)])
        if phase(relay, "h1") is not Phase.HEALTHY:
            break
    assert phase(relay, "h1") is Phase.SUSPECT
    return relay.endpoints["h1"].own_limiter.slow_start._call_is_free(at_us + 1000 + SECOND)


def test_no_free_call_after_retry_after_without_exhausted_limit() -> None:
    """A shut endpoint announces one time to all senders, so all confirmation calls would be made then."""
    assert not call_is_free_after_refusal(limit_remaining=None) and not call_is_free_after_refusal(
        limit_remaining=1.0
    )


def test_free_call_after_retry_after_of_exhausted_limit() -> None:
    assert call_is_free_after_refusal(limit_remaining=0.0)


@pytest.mark.parametrize(
    ("meanwhile", "after"), [(api.Listing.GONE, Phase.SUSPECT), (api.Listing.DRAINING, Phase.HEALTHY)]
)
def test_relisted_endpoint_is_suspect_after_gone_but_not_after_draining(
    meanwhile: api.Listing, after: Phase
) -> None:
    relay = relay_with("h1")
    for at_s, listing in ((5, meanwhile), (9, api.Listing.READY)):
        changed = endpoint_update(
            entry("h1", kind=SPLIT, listing=listing), kind=api.EndpointUpdateKind.CHANGES
        )
        relay.step(at_s * SECOND, [changed])
    assert phase(relay, "h1") is after


@pytest.mark.parametrize(
    ("kind", "restored"),
    [
        (api.OutageRecordKind.OUTAGE, Phase.DOWN),
        (api.OutageRecordKind.SUSPICION, Phase.SUSPECT),
        (api.OutageRecordKind.RECOVERY, Phase.SLOW_START),
    ],
)
def test_restart_restores_journaled_phase(kind: api.OutageRecordKind, restored: Phase) -> None:
    relay = relay_with("h1")
    relay.step(SECOND, [api.OutageRecord("h1", 5 * SECOND, kind, 0.5)])
    assert phase(relay, "h1") is restored
    assert relay.endpoints["h1"].own_limiter.slow_start.served_share == 0.5


def test_limit_refusal_is_recorded_as_suspicion_until_a_success() -> None:
    """A shut endpoint may report its limit as used up, and all relays that it refused may be restarted."""
    relay = relay_with("h1", group=settings(group_size=1, max_calls=8))
    [first] = sends(relay.step(SECOND, [arrival("m1", SAFE)]))
    relay.step(
        SECOND + 1000,
        [replace(attempt_outcome(first, elapsed_us=1000), limit_remaining=0.5, limit_per_s=4.0)],
    )
    [second] = sends(relay.step(2 * SECOND, [arrival("m2", SAFE)]))
    refusal = replace(
        attempt_outcome(second, api.Verdict.FULL, elapsed_us=1000), limit_remaining=0.0, limit_per_s=4.0
    )
    actions = relay.step(2 * SECOND + 1000, [refusal])
    assert phase(relay, "h1") is Phase.HEALTHY
    assert [record.kind for record in actions if isinstance(record, api.OutageRecord)] == [
        api.OutageRecordKind.SUSPICION
    ]
    [again] = sends(relay.step(4 * SECOND, [api.TimerDue()]))
    actions = relay.step(4 * SECOND + 1000, [attempt_outcome(again, attempt=1, elapsed_us=1000)])
    assert [record.valid_for_us for record in actions if isinstance(record, api.OutageRecord)] == [0]


def test_suspicion_in_slow_start_keeps_recovery_record() -> None:
    """A record of an outage would begin the warm-up anew after a restart, however warm the endpoint is."""
    relay = relay_with("h1", group=settings(group_size=1, max_calls=8))
    relay.step(SECOND, [api.OutageRecord("h1", 11 * SECOND, api.OutageRecordKind.RECOVERY, 1.0)])
    assert phase(relay, "h1") is Phase.SLOW_START
    at_us, outcome_actions = SECOND, list[api.Action]()
    while phase(relay, "h1") is Phase.SLOW_START:  # the first call may have to wait for credit
        at_us += SECOND
        actions = relay.step(at_us, [arrival(f"m{at_us}", SAFE)])
        for send in sends(actions):
            outcome_actions += relay.step(
                at_us + 1000, [attempt_outcome(send, api.Verdict.RESET, elapsed_us=1000)]
            )
    assert phase(relay, "h1") is Phase.SUSPECT
    assert [action for action in outcome_actions if isinstance(action, api.OutageRecord)] == []


def test_retry_after_outage_record_outlasts_the_wait() -> None:
    relay = relay_with("h1")
    [send] = sends(relay.step(SECOND, [arrival("m1", SAFE)]))
    refusal = attempt_outcome(send, api.Verdict.FULL, retry_after_us=40 * SECOND)
    outage_records = [
        action for action in relay.step(2 * SECOND, [refusal]) if isinstance(action, api.OutageRecord)
    ]
    assert [record.kind for record in outage_records] == [api.OutageRecordKind.OUTAGE]
    assert outage_records[0].valid_for_us > 40 * SECOND + 30 * SECOND


def test_log_states_retry_after_of_refusal() -> None:
    relay = relay_with("h1")
    [send] = sends(relay.step(SECOND, [arrival("m1", SAFE)]))
    lines = relay.step(2 * SECOND, [attempt_outcome(send, api.Verdict.FULL, retry_after_us=9 * SECOND)])
    assert api.Log("h1 healthy -> down: full, Retry-After 9.0 s (message m1)") in lines


def test_recovered_messages_earn_credit_over_their_time() -> None:
    """A hundred messages, as many relays together would hold, for an endpoint that was down."""
    relay = relay_with("h1")
    recovered = [
        api.Arrival(f"f{number}", 1, SAFE.name, 6 * SECOND, recovered_untried=True) for number in range(100)
    ]
    at_once = sends(relay.step(SECOND, [api.OutageRecord("h1", 99 * SECOND), *recovered]))
    later = [
        send for at_us in range(SECOND, 7 * SECOND, SECOND // 50)
        for send in sends(relay.step(at_us, [api.TimerDue()]))
    ]  # fmt: skip
    assert len(at_once) <= 3, "one call, of up to three messages"
    assert later, "some are attempted"
