"""What a call at the console means, and its answer; no I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import parse_qsl

MOST_NAME = 128  # characters of a host's id
JSON = "application/json"
TEXT, FIGURES = "text/plain; charset=utf-8", "text/plain; version=0.0.4; charset=utf-8"


class Operated(Protocol):
    """What the console asks of the relay."""

    @property
    def ready(self) -> bool:
        """Whether this process would take a message on now."""

    def metrics_text(self) -> str:
        """The figures, in the exposition format."""

    def fleet_json(self) -> str:
        """The view of the fleet as JSON; empty where none is kept."""

    def disable_host(self, host: str) -> str:
        """Leave a host out, kept for later lives; else why not (``unknown`` in front: no such host)."""

    def enable_host(self, host: str) -> str:
        """The host may serve again; else why not."""


@dataclass(frozen=True, slots=True)
class Said:
    """An answer: status, body and what kind of text that is."""

    status: int
    text: str
    kind: str = TEXT


def answer(method: str, target: str, relay: Operated) -> Said:
    """Carry out one call; whatever cannot be understood changes nothing."""
    path, sign, query = target.partition("?")
    table: dict[str, tuple[str, Callable[[], Said]]] = {
        "/ready": ("GET", lambda: ready(relay)),
        "/metrics": ("GET", lambda: Said(200, relay.metrics_text(), FIGURES)),
        "/fleet": ("GET", lambda: fleet(relay)),
        "/hosts/disable": ("POST", lambda: by_hand(query, relay.disable_host)),
        "/hosts/enable": ("POST", lambda: by_hand(query, relay.enable_host)),
    }
    if path not in table:
        return Said(404, "no such call\n")
    wanted, act = table[path]
    if method != wanted:
        return Said(405, f"{path} is a {wanted}\n")
    if sign and wanted == "GET":
        return Said(400, f"{path} takes nothing\n")
    return act()


def ready(relay: Operated) -> Said:
    """``GET /ready``."""
    return Said(200, "ready\n") if relay.ready else Said(503, "not ready\n")


def fleet(relay: Operated) -> Said:
    """``GET /fleet``."""
    text = relay.fleet_json()
    return Said(200, text, JSON) if text else Said(404, "no view of a fleet is kept here\n")


def by_hand(query: str, act: Callable[[str], str]) -> Said:
    """A host by its id, named once and nothing beside it."""
    try:
        pairs = parse_qsl(query, keep_blank_values=True, strict_parsing=True, max_num_fields=4)
    except ValueError:
        pairs = []
    if len(pairs) != 1 or pairs[0][0] != "name":
        return Said(400, "one name is needed: ?name=ID\n")
    name = pairs[0][1]
    if not 0 < len(name) <= MOST_NAME or not name.isprintable():
        return Said(400, "not a host's id\n")
    if not (why := act(name)):
        return Said(200, "done\n")
    return Said(404 if why.startswith("unknown") else 503, f"{why}\n")
