"""Repeated answers: a server or a middlebox that writes an answer, or a part of it, once more."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Literal, Protocol, TypeVar

RepeatForm = Literal["whole", "half", "head", "previous"]
HEAD_END = b"\r\n\r\n"
FORMS: tuple[RepeatForm, ...] = ("whole", "whole", "whole", "half", "head", "previous")
DRAWN_SHARES, DRAWN_DELAYS_MS = (0.01, 0.3), (1.0, 2000.0)
FIRST_REPEAT_S = 0.5


@dataclass(frozen=True, slots=True)
class RepeatFault:
    """Which share of the answers is repeated, in which form, and how long (s) after the answer.

    ``whole``, ``half`` and ``head`` repeat the answer or its beginning; ``previous`` repeats the answer
    before it on the same connection.
    """

    share: float
    after_s: tuple[float, float]
    form: RepeatForm = "whole"


class AnsweringConnection(Protocol):
    """What a repetition needs of a server's connection."""

    last_answers: tuple[bytes, bytes]  # the last answer and the one before it; empty for none

    @property
    def is_open(self) -> bool:
        """Whether data can still be written."""

    def write_raw(self, data: bytes) -> None:
        """Write bytes without HTTP framing."""


AnyConnection = TypeVar("AnyConnection", bound=AnsweringConnection)


@dataclass(slots=True)
class AnswerRepeater:
    """Repeats answers of all servers that share it, while a fault is set."""

    rng: random.Random = field(default_factory=lambda: random.Random("repeats"))
    fault: RepeatFault | None = None

    def answer_written(self, connection: AnyConnection, on_repeat: Callable[[AnyConnection], None]) -> None:
        """Draw whether the last answer on a connection is repeated; ``on_repeat`` is called just before."""
        fault = self.fault
        if fault is None or self.rng.random() >= fault.share:
            return
        data = repeated_bytes(fault.form, *connection.last_answers)
        delay_s = self.rng.uniform(*fault.after_s)
        asyncio.get_running_loop().call_later(delay_s, self._repeat, connection, data, on_repeat)

    @staticmethod
    def _repeat(connection: AnyConnection, data: bytes, on_repeat: Callable[[AnyConnection], None]) -> None:
        if data and connection.is_open:
            on_repeat(connection)
            connection.write_raw(data)


def repeated_bytes(form: RepeatForm, answer: bytes, previous: bytes) -> bytes:
    """Return the bytes that a repetition writes."""
    match form:
        case "half":
            return answer[: len(answer) // 2]
        case "head":
            return answer[: answer.find(HEAD_END) + len(HEAD_END)]
        case "previous":
            return previous
        case _:
            return answer


def draw_repeats(rng: random.Random, length_s: float) -> list[dict[str, Any]]:
    """Draw the events of a run in which hosts, and half of the time the directory too, repeat answers."""
    servers = ["hosts", "directory"] if rng.random() < 0.5 else ["hosts"]
    return [draw_repeat(rng, server, length_s) for server in servers]


def draw_repeat(rng: random.Random, between: str, length_s: float) -> dict[str, Any]:
    """Draw one event: share and delay log-uniformly, as short and long delays differ in kind."""
    low_ms = draw_log_uniform(rng, *DRAWN_DELAYS_MS)
    high_ms = min(low_ms * rng.uniform(1.2, 5.0), DRAWN_DELAYS_MS[1])
    return {
        "at_s": FIRST_REPEAT_S, "what": "repeat", "between": between, "len_s": round(length_s, 3),
        "part": round(draw_log_uniform(rng, *DRAWN_SHARES), 3), "form": rng.choice(FORMS),
        "after_ms": (round(low_ms, 3), round(max(low_ms, high_ms), 3)),
    }  # fmt: skip


def draw_log_uniform(rng: random.Random, low: float, high: float) -> float:
    """Draw a value whose logarithm is uniform between those of ``low`` and ``high``."""
    return float(low * (high / low) ** rng.random())
