"""Logs for machines: JSON, one event a line, with the relay, its life and the message where there is one.

Only an operator file that asks for it imports this. The relay logs through the standard library, and
structlog renders what it logged; so text and JSON say the same.
"""

from __future__ import annotations

import logging

import structlog
from structlog.typing import EventDict, Processor, WrappedLogger

EXTRA_FIELDS = ("message_id", "host")  # what a log call may name beside its text


def build_formatter(relay: str, run_id: str) -> logging.Formatter:
    """Renders a record as ``{"timestamp", "level", "logger", "relay", "life", "event", ...}``.

    ``timestamp`` is ISO 8601 in UTC; ``message_id`` and ``host`` are there where the event has one, and
    ``exception`` holds a list of causes with their frames.
    """

    def whose(_logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
        return {"relay": relay, "life": run_id, **event}

    enrichers: list[Processor] = [
        structlog.stdlib.ExtraAdder(allow=EXTRA_FIELDS),
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        whose,
        structlog.processors.dict_tracebacks,
    ]
    renderers: list[Processor] = [
        structlog.stdlib.ProcessorFormatter.remove_processors_meta,
        structlog.processors.JSONRenderer(),
    ]
    return structlog.stdlib.ProcessorFormatter(foreign_pre_chain=enrichers, processors=renderers)


def install(relay: str, run_id: str) -> None:
    """Let every handler of the root logger render so from now on."""
    json_formatter = build_formatter(relay, run_id)
    for handler in logging.getLogger().handlers:
        handler.setFormatter(json_formatter)
