"""Extracts the traffic of a record, to replay it in the same or another simulated environment. No I/O."""

from __future__ import annotations

from pydantic import ValidationError

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.draw import Arrival
from mallowlug.rig.world.scenario import Scenario


def first_submissions(record: rec.Record) -> list[rec.MessageSubmitted]:
    """Return the first submission of each message; simulated clients make the retries themselves."""
    first_by_id: dict[str, rec.MessageSubmitted] = {}
    for event in record.events:
        if isinstance(event, rec.MessageSubmitted) and not event.first:
            first_by_id.setdefault(event.id, event)  # one resent on a new connection has the same id
    return list(first_by_id.values())


def traffic_only(record: rec.Record) -> rec.Record:
    """Reduce a record to its first submissions: small enough to ship, and replayed like any other."""
    firsts = first_submissions(record)
    end = rec.RecordEnd(firsts[-1].at if firsts else 0, len(firsts))
    return rec.Record(record.head, [*firsts, end], True)


def arrivals_from(record: rec.Record) -> list[Arrival]:
    """Convert the first submissions to arrivals, timed from the first one."""
    firsts = first_submissions(record)
    relays = {name: number for number, name in enumerate(sorted({ask.relay for ask in firsts}))}
    start_us = firsts[0].at if firsts else 0
    return [
        Arrival((a.at - start_us) / 1e6, relays[a.relay], a.dest, a.cls, a.member, a.order, a.size)
        for a in firsts
    ]


def scenario_from(record: rec.Record) -> Scenario:
    """Return the scenario in the head of a record; raise ``RecordError`` if it holds no valid one."""
    try:
        return Scenario.model_validate(record.head.scenario)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(map(str, first["loc"]))
        raise rec.RecordError(f"line 1: the head holds no scenario: {place}: {first['msg']}") from None
