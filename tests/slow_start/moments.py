"""Draws with a moment that all relays of a group have in common.

A Retry-After wait, a hang or a pause ends, or a list update or a restart takes effect, for all relays at one
time. The group must not act on it all at once. The functions' names are test ids and values of ``--kind``.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from tests.slow_start.outages import Failure, OutageDraw, Restart, draw_destination_outage

DrawFunction = Callable[[int, int], OutageDraw]


def _single_destination_outage(seed: int, relays: int) -> OutageDraw:
    """Draw one outage of 7 to 13 s of a whole destination of one to three endpoints, without restarts."""
    rng = random.Random(f"moment {relays} {seed}")
    endpoints = rng.choice((1, 2, 3))
    return replace(
        draw_destination_outage(seed, relays),
        endpoints=endpoints,
        failing_endpoints=endpoints,
        load=rng.uniform(0.5, 1.3),
        length_s=rng.uniform(7, 13),
        restart=None,
        stagger_s=0.0,
        failure=rng.choice(tuple(Failure)),
    )


def told_wait(seed: int, relays: int) -> OutageDraw:
    """Every refusal announces the time when the endpoint opens."""
    return replace(_single_destination_outage(seed, relays), failure=Failure.SHUT, retry_after_share=1.0)


def long_told_wait(seed: int, relays: int) -> OutageDraw:
    """As ``told_wait``, in an outage of 30 to 45 s."""
    length_s = random.Random(seed).uniform(30, 45)
    return replace(told_wait(seed, relays), length_s=length_s)


def told_at_a_limit(seed: int, relays: int) -> OutageDraw:
    """A shut endpoint with a rate limit: refusals use the limit up, and most announce a wait."""
    return replace(told_wait(seed, relays), kind="bank", refusals_use_limit=True, retry_after_share=0.8)


def hung_calls(seed: int, relays: int) -> OutageDraw:
    """Connections of hung calls are reset at the return, for all relays and endpoints at one time."""
    return replace(_single_destination_outage(seed, relays), failure=Failure.TIMEOUT)


def staggered(seed: int, relays: int) -> OutageDraw:
    """The endpoints return one after the other."""
    return replace(_single_destination_outage(seed, relays), stagger_s=random.Random(seed).uniform(0.2, 4))


def restarted(seed: int, relays: int) -> OutageDraw:
    """All relays are restarted just after the return, as after a power loss."""
    return replace(_single_destination_outage(seed, relays), restart=Restart(1.0, 0.2))


def restarted_from_silence(seed: int, relays: int) -> OutageDraw:
    """As ``restarted``, with a destination that did not answer: calls are in flight at the kill."""
    return replace(restarted(seed, relays), failure=Failure.TIMEOUT)


def restarted_late(seed: int, relays: int) -> OutageDraw:
    """Four fifths are restarted after an outage of 30 to 45 s whose beginning they observed before."""
    length_s = random.Random(seed).uniform(30, 45)
    return replace(_single_destination_outage(seed, relays), length_s=length_s, restart=Restart(0.8, 0.5))


def stopped(seed: int, relays: int) -> OutageDraw:
    """All relays are suspended for two seconds around the return."""
    return replace(_single_destination_outage(seed, relays), paused_s=2.0)


def relisted(seed: int, relays: int) -> OutageDraw:
    """The endpoint list drops the endpoints during the outage and lists them again at their return."""
    return replace(_single_destination_outage(seed, relays), relisted=True)


def clumped(seed: int, relays: int) -> OutageDraw:
    """Messages arrive in bursts of eight."""
    return replace(_single_destination_outage(seed, relays), burst_size=8)


def overloaded(seed: int, relays: int) -> OutageDraw:
    """The load exceeds the endpoints' capacity."""
    return replace(_single_destination_outage(seed, relays), load=random.Random(seed).uniform(1.2, 1.6))


def shut_near_capacity(seed: int, relays: int) -> OutageDraw:
    """Two endpoints shut together under a load near their capacity; most refusals announce the opening."""
    rng = random.Random(f"near {seed}")
    return OutageDraw(
        seed=seed,
        relays=relays,
        endpoints=2,
        failing_endpoints=2,
        kind=rng.choice(("lot", "lot", "bank")),
        capacity_per_s=rng.uniform(2, 5),
        load=1 / rng.uniform(0.8, 1.1),
        failure=Failure.SHUT,
        start_s=4.0,
        length_s=9.5,
        relay_weights=(0.5, 1.5),
        error_share=0.005,
    )


def shut_batches(seed: int, relays: int) -> OutageDraw:
    """As ``shut_near_capacity``, at endpoints whose calls carry several messages."""
    return replace(shut_near_capacity(seed, relays), kind="bank")


MOMENTS: dict[str, DrawFunction] = {
    kind.__name__: kind
    for kind in (
        told_wait, long_told_wait, told_at_a_limit, hung_calls, staggered, restarted, restarted_from_silence,
        restarted_late, stopped, relisted, clumped, overloaded, shut_near_capacity, shut_batches,
    )
}  # fmt: skip
