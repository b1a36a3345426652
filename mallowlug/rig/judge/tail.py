"""Latency of a run: quantiles of accept and delivery time, and counts of calls and connections.

Times count from a message's first submission. Arrivals are drawn in advance and do not wait for answers, so
slow answers delay no later arrival and no correction for coordinated omission is needed. A message that was
never delivered counts with infinite latency, so it is part of the tail. Quantiles are exact (nearest rank).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.service import requests_of

QUANTILES = (0.5, 0.99, 0.999)


@dataclass(frozen=True, slots=True)
class Latency:
    """Quantiles in milliseconds, in the order of ``QUANTILES``; ``math.inf`` if too few were delivered."""

    accept_ms: tuple[float, ...]
    deliver_ms: tuple[float, ...]
    messages: int
    delivered: int
    calls: int
    carried: int  # messages in all calls, with repeated attempts
    connections: int


def quantile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least ``share`` of the values do not exceed.

    Raises ``ValueError`` without values or for a share outside (0, 1].
    """
    if not values or not 0 < share <= 1:
        raise ValueError("a quantile needs values, and a share above 0 and at most 1")
    return sorted(values)[math.ceil(share * len(values)) - 1]


def quantiles(values: Sequence[float]) -> tuple[float, ...]:
    """Return the value of each of ``QUANTILES``; empty without values."""
    return tuple(quantile(values, share) for share in QUANTILES) if values else ()


def latency_of(record: rec.Record) -> Latency:
    """Measure a record. Only accepted requests have an accept time."""
    submitted_us = {event.id: event.at for event in record.events if isinstance(event, rec.MessageSubmitted)}
    accepts = [
        (event.at - submitted_us[event.id]) / 1000
        for event in record.events
        if isinstance(event, rec.ClientOutcome) and event.what == "taken" and event.id in submitted_us
    ]
    requests = requests_of(record)
    delivery_ms = [
        (request.delivered_us - request.submitted.at) / 1000 if request.delivered_us >= 0 else math.inf
        for request in requests
    ]
    calls = [event for event in record.events if isinstance(event, rec.Call)]
    return Latency(
        accept_ms=quantiles(accepts),
        deliver_ms=quantiles(delivery_ms),
        messages=len(requests),
        delivered=sum(value < math.inf for value in delivery_ms),
        calls=len(calls),
        carried=sum(len(call.ids) for call in calls),
        connections=len({(call.host, call.connection) for call in calls}),
    )
