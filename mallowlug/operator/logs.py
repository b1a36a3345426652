"""Structured logs: JSON, one event per line, with the relay, its run and the message if there is one.

Imported only if the operator file asks for JSON logs. The relay logs through the standard library and
structlog renders the records, so text and JSON logs have the same content.
"""

from __future__ import annotations

import logging

import structlog
from structlog.typing import EventDict, Processor, WrappedLogger

EXTRA_FIELDS = ("message_id", "host")  # attributes that a log call may add to its text


def build_formatter(relay: str, run_id: str) -> logging.Formatter:
    """Return a formatter to ``{"timestamp", "level", "logger", "relay", "life", "event", ...}``.

    ``timestamp`` is ISO 8601 in UTC and ``life`` is ``run_id``. ``message_id`` and ``host`` are present if
    the event has them; ``exception`` holds a list of causes with their frames.
    """

    def add_relay(_logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
        return {"relay": relay, "life": run_id, **event}

    enrichers: list[Processor] = [
        structlog.stdlib.ExtraAdder(allow=EXTRA_FIELDS),
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        add_relay,
        structlog.processors.dict_tracebacks,
    ]
    renderers: list[Processor] = [
        structlog.stdlib.ProcessorFormatter.remove_processors_meta,
        structlog.processors.JSONRenderer(),
    ]
    return structlog.stdlib.ProcessorFormatter(foreign_pre_chain=enrichers, processors=renderers)


def install(relay: str, run_id: str) -> None:
    """Set the JSON formatter on all handlers of the root logger."""
    json_formatter = build_formatter(relay, run_id)
    for handler in logging.getLogger().handlers:
        handler.setFormatter(json_formatter)
