"""Moments that all relays of a group have in common.

Whatever ends for all (a wait, a hang, a stop, a list, a restart), the group may not act on it at once.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from tests.slow_start.outages import Failure, OutageDraw, Restart, draw_destination_outage

DrawFunction = Callable[[int, int], OutageDraw]


def _single_destination_outage(seed: int, relays: int) -> OutageDraw:
    """A whole destination of one to three endpoints, out once for 7 to 13 s, with no restart."""
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
    """Every refusal names the time of the opening."""
    return replace(_single_destination_outage(seed, relays), failure=Failure.SHUT, retry_after_share=1.0)


def long_told_wait(seed: int, relays: int) -> OutageDraw:
    """The same, in an outage of 30 to 45 s."""
    length_s = random.Random(seed).uniform(30, 45)
    return replace(told_wait(seed, relays), length_s=length_s)


def told_at_a_limit(seed: int, relays: int) -> OutageDraw:
    """A limited endpoint that is shut, whose refusals use its limit up and mostly name a wait."""
    return replace(told_wait(seed, relays), kind="bank", refusals_use_limit=True, retry_after_share=0.8)


def hung_calls(seed: int, relays: int) -> OutageDraw:
    """Calls that hung break at the return, for all relays and endpoints at one time."""
    return replace(_single_destination_outage(seed, relays), failure=Failure.TIMEOUT)


def staggered(seed: int, relays: int) -> OutageDraw:
    """One endpoint returns before the next."""
    return replace(_single_destination_outage(seed, relays), stagger_s=random.Random(seed).uniform(0.2, 4))


def restarted(seed: int, relays: int) -> OutageDraw:
    """All relays are restarted just behind the return, as behind a power loss."""
    return replace(_single_destination_outage(seed, relays), restart=Restart(1.0, 0.2))


def restarted_from_silence(seed: int, relays: int) -> OutageDraw:
    """The same with a destination that was silent: calls are out as the relays are killed."""
    return replace(restarted(seed, relays), failure=Failure.TIMEOUT)


def restarted_late(seed: int, relays: int) -> OutageDraw:
    """Four fifths are restarted behind an outage of 30 to 45 s, which the former lives saw begin."""
    length_s = random.Random(seed).uniform(30, 45)
    return replace(_single_destination_outage(seed, relays), length_s=length_s, restart=Restart(0.8, 0.5))


def stopped(seed: int, relays: int) -> OutageDraw:
    """All relays stand still for two seconds around the return, and then run on."""
    return replace(_single_destination_outage(seed, relays), paused_s=2.0)


def relisted(seed: int, relays: int) -> OutageDraw:
    """The list drops the endpoints while they are out, and names them again at their return."""
    return replace(_single_destination_outage(seed, relays), relisted=True)


def clumped(seed: int, relays: int) -> OutageDraw:
    """Clients come back eight at a time."""
    return replace(_single_destination_outage(seed, relays), burst_size=8)


def overloaded(seed: int, relays: int) -> OutageDraw:
    """More comes than the endpoints can take."""
    return replace(_single_destination_outage(seed, relays), load=random.Random(seed).uniform(1.2, 1.6))


def shut_near_capacity(seed: int, relays: int) -> OutageDraw:
    """Two endpoints shut together, most refusals naming the opening, at a load near what they bear."""
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
    """The same at endpoints whose calls carry several messages."""
    return replace(shut_near_capacity(seed, relays), kind="bank")


MOMENTS: dict[str, DrawFunction] = {
    kind.__name__: kind
    for kind in (
        told_wait, long_told_wait, told_at_a_limit, hung_calls, staggered, restarted, restarted_from_silence,
        restarted_late, stopped, relisted, clumped, overloaded, shut_near_capacity, shut_batches,
    )
}  # fmt: skip
