"""A record's traffic as a scenario: who wanted what, when, played again in the same world or another one.
No I/O.
"""

from __future__ import annotations

from pydantic import ValidationError

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.draw import Arrival
from mallowlug.rig.world.scenario import Scenario


def first_submissions(record: rec.Record) -> list[rec.Ask]:
    """What clients wanted, each message once; retries are their habits and come by themselves."""
    first_by_id: dict[str, rec.Ask] = {}
    for event in record.events:
        if isinstance(event, rec.Ask) and not event.first:
            first_by_id.setdefault(
                event.id, event
            )  # one written once more on a new connection is one message
    return list(first_by_id.values())


def traffic_only(record: rec.Record) -> rec.Record:
    """A record of the first tries alone: small enough to be shipped, and replayed like any other."""
    firsts = first_submissions(record)
    end = rec.End(firsts[-1].at if firsts else 0, len(firsts))
    return rec.Record(record.head, [*firsts, end], True)


def arrivals_from(record: rec.Record) -> list[Arrival]:
    """The first tries as arrivals, counted from the first of them."""
    firsts = first_submissions(record)
    relays = {name: number for number, name in enumerate(sorted({ask.relay for ask in firsts}))}
    start_us = firsts[0].at if firsts else 0
    return [
        Arrival((a.at - start_us) / 1e6, relays[a.relay], a.dest, a.cls, a.member, a.order, a.size)
        for a in firsts
    ]


def scenario_from(record: rec.Record) -> Scenario:
    """The world that a record was made in; ``RecordError`` where its head does not hold one."""
    try:
        return Scenario.model_validate(record.head.scenario)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(map(str, first["loc"]))
        raise rec.RecordError(f"line 1: the head holds no scenario: {place}: {first['msg']}") from None
