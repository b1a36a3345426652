"""What binds a relay beside its journal, for the process that follows it in an upgrade: a plain value."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

# Of one endpoint: host, wait until, quota, own pace (0: none), rate told for all (0: not told), since when it
# is cold (-1: not), next call not before.
EndpointRow = tuple[str, int, float, float, float, int, int]


@dataclass(slots=True)
class HandoverState:
    """What is handed over; times are wall time in microseconds."""

    waits: dict[str, int] = field(default_factory=dict)  # by route: until when it is to be left alone
    learned: list[EndpointRow] = field(default_factory=list)
    seq: int = -1  # of the list; -1: the list is not here
    rows: dict[int, list[Any]] = field(default_factory=dict)  # by destination: its endpoints as they are kept
    over: list[str] = field(default_factory=list)  # ids that are over, the last ones
    config: str = ""  # the file in force, as JSON without its list of hosts
    discovery: str = ""  # host:port where the platform is asked and told
    aside: str = ""  # the value of ROUTER_DISCOVERY that a reload has put aside
