"""A record's traffic as a scenario: who wanted what, when, played again in the same world or another one.
No I/O.
"""

from __future__ import annotations

from pydantic import ValidationError

from rig import record as rec
from rig.draw import Arrival
from rig.scenario import Scenario


def traffic_of(record: rec.Record) -> list[Arrival]:
    """The first tries, counted from the first of them; retries are the clients' habits and come by
    themselves.
    """
    firsts = [event for event in record.events if isinstance(event, rec.Ask) and not event.first]
    relays = {name: number for number, name in enumerate(sorted({ask.relay for ask in firsts}))}
    start_us = firsts[0].at if firsts else 0
    seen, found = set[str](), list[Arrival]()
    for ask in firsts:
        if ask.id not in seen:  # one that was written once more on a new connection is one message
            seen.add(ask.id)
            at_s, relay = (ask.at - start_us) / 1e6, relays[ask.relay]
            found.append(Arrival(at_s, relay, ask.dest, ask.cls, ask.member, ask.order, ask.size))
    return found


def scenario_of(record: rec.Record) -> Scenario:
    """The world that a record was made in; ``RecordError`` where its head does not hold one."""
    try:
        return Scenario.model_validate(record.head.scenario)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(map(str, first["loc"]))
        raise rec.RecordError(f"line 1: the head holds no scenario: {place}: {first['msg']}") from None
