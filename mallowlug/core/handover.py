"""The state that a process hands over to the next one in an upgrade, beside the journal: a plain value."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

# State of one endpoint: host; end of its Retry-After wait (wall time, us); quota (concurrent calls); own send
# rate (calls/s; 0: none); rate limit announced for all relays (calls/s; 0: none); since when it is cold (wall
# time, us; -1: not cold); earliest time of the next call (wall time, us).
EndpointRow = tuple[str, int, float, float, float, int, int]


@dataclass(slots=True)
class HandoverState:
    """The handed-over state, stored under its field names; times are wall time in microseconds."""

    waits: dict[str, int] = field(default_factory=dict)  # by route: end of its Retry-After wait
    learned: list[EndpointRow] = field(default_factory=list)  # one row per endpoint that the engine knows
    seq: int = -1  # version of the endpoint list; -1: the list is not included
    rows: dict[int, list[Any]] = field(default_factory=dict)  # by destination: ``listings.Row`` per endpoint
    over: list[str] = field(default_factory=list)  # ids of the messages completed last, oldest first
    config: str = ""  # the configuration in force, as JSON without its list of hosts
    discovery: str = ""  # host:port of discovery and notices
    aside: str = ""  # the value of ROUTER_DISCOVERY that a reload has overridden
