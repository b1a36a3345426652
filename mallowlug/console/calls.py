"""The console's HTTP calls and their responses; no I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import parse_qsl

MAX_HOST_ID_CHARS = 128
JSON_TYPE = "application/json"
TEXT_TYPE, METRICS_TYPE = "text/plain; charset=utf-8", "text/plain; version=0.0.4; charset=utf-8"


class Operations(Protocol):
    """What the console needs of the relay."""

    @property
    def ready(self) -> bool:
        """Whether this process accepts messages now."""

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text exposition format."""

    def fleet_json(self) -> str:
        """Return the fleet view as JSON; empty if none is kept."""

    def disable_host(self, host: str) -> str:
        """Disable a host, also after restarts; return "" or an error (``unknown...`` for no such host)."""

    def enable_host(self, host: str) -> str:
        """Enable a host again; return "" or an error, as ``disable_host`` does."""


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response: status, body and content type."""

    status: int
    text: str
    content_type: str = TEXT_TYPE


def handle_call(method: str, target: str, relay: Operations) -> Response:
    """Carry out one call and return its response; an invalid call changes nothing."""
    path, separator, query = target.partition("?")
    table: dict[str, tuple[str, Callable[[], Response]]] = {
        "/ready": ("GET", lambda: ready_response(relay)),
        "/metrics": ("GET", lambda: Response(200, relay.metrics_text(), METRICS_TYPE)),
        "/fleet": ("GET", lambda: fleet_response(relay)),
        "/hosts/disable": ("POST", lambda: set_host_availability(query, relay.disable_host)),
        "/hosts/enable": ("POST", lambda: set_host_availability(query, relay.enable_host)),
    }
    if path not in table:
        return Response(404, "no such call\n")
    expected_method, action = table[path]
    if method != expected_method:
        return Response(405, f"{path} is a {expected_method}\n")
    if separator and expected_method == "GET":
        return Response(400, f"{path} takes nothing\n")
    return action()


def ready_response(relay: Operations) -> Response:
    """Respond to ``GET /ready``."""
    return Response(200, "ready\n") if relay.ready else Response(503, "not ready\n")


def fleet_response(relay: Operations) -> Response:
    """Respond to ``GET /fleet``."""
    text = relay.fleet_json()
    return Response(200, text, JSON_TYPE) if text else Response(404, "no view of a fleet is kept here\n")


def set_host_availability(query: str, action: Callable[[str], str]) -> Response:
    """Disable or enable the host that ``name``, the only parameter of the query, identifies."""
    try:
        pairs = parse_qsl(query, keep_blank_values=True, strict_parsing=True, max_num_fields=4)
    except ValueError:
        pairs = []
    if len(pairs) != 1 or pairs[0][0] != "name":
        return Response(400, "one name is needed: ?name=ID\n")
    name = pairs[0][1]
    if not 0 < len(name) <= MAX_HOST_ID_CHARS or not name.isprintable():
        return Response(400, "not a host's id\n")
    if not (error := action(name)):
        return Response(200, "done\n")
    return Response(404 if error.startswith("unknown") else 503, f"{error}\n")
