"""Validates a TOML file against a model and reports every mistake with its key and line."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

Model = TypeVar("Model", bound=BaseModel)
KeyPath = tuple[str | int, ...]
KEY_PART = r"(?:[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*')"
DOTTED_KEY = rf"{KEY_PART}(?:\s*\.\s*{KEY_PART})*"
TABLE_HEADER = re.compile(rf"\s*(\[\[?)\s*({DOTTED_KEY})\s*\]\]?\s*(?:#.*)?$")
KEY_VALUE = re.compile(rf"\s*({DOTTED_KEY})\s*=")
ERROR_POSITION = re.compile(r"\(at line (\d+), column \d+\)")


class Strict(BaseModel):
    """Base class of tables: unknown keys and values of another type are mistakes."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


@dataclass(frozen=True, slots=True, order=True)
class Mistake:
    """One mistake in a file; line 0 stands for the whole file."""

    line: int
    key: str
    reason: str


class FileMistakesError(ValueError):
    """A file is unusable; ``mistakes`` holds all mistakes in it, sorted by line."""

    def __init__(self, path: Path, mistakes: Sequence[Mistake]) -> None:
        self.path, self.mistakes = path, tuple(sorted(mistakes))
        super().__init__("\n".join(self.lines()))

    def lines(self) -> Iterator[str]:
        """Yield one line for each mistake, as ``file:line: key: reason``."""
        for mistake in self.mistakes:
            place = f"{self.path}:{mistake.line}" if mistake.line else str(self.path)
            yield f"{place}: {mistake.key}: {mistake.reason}" if mistake.key else f"{place}: {mistake.reason}"


def split_dotted_key(dotted: str) -> tuple[str, ...]:
    """Split a dotted key into its parts, without quotes."""
    return tuple(part.strip("\"'") for part in re.findall(KEY_PART, dotted))


def key_lines(text: str) -> dict[KeyPath, int]:
    """Return the line of each key and table header, as ``tomllib`` does not report lines."""
    lines: dict[KeyPath, int] = {}
    table: KeyPath = ()
    counts: dict[tuple[str, ...], int] = {}
    open_quote = ""
    for number, line in enumerate(text.splitlines(), 1):
        if open_quote:  # skip the content of multi-line strings
            open_quote = "" if open_quote in line else open_quote
            continue
        if header := TABLE_HEADER.match(line):
            names = split_dotted_key(header[2])
            if header[1] == "[[":
                counts[names] = counts.get(names, -1) + 1
            table = ()
            for index, name in enumerate(names):
                table = (*table, name)
                if names[: index + 1] in counts:
                    table = (*table, counts[names[: index + 1]])
            lines.setdefault(table, number)
        elif key := KEY_VALUE.match(line):
            lines[(*table, *split_dotted_key(key[1]))] = number
            for mark in ('"""', "'''"):
                if line.count(mark) % 2:
                    open_quote = mark
    return lines


def line_of(lines: dict[KeyPath, int], key: KeyPath) -> int:
    """Return the line of a key, or else of the innermost table around it; 0 if there is none."""
    while key and key not in lines:
        if inner_lines := [line for place, line in lines.items() if place[: len(key)] == key]:
            return min(inner_lines)
        key = key[:-1]
    return lines.get(key, 0)


def read(path: Path, model: type[Model]) -> Model:
    """Read a file into a model; raises ``FileMistakesError`` with all mistakes."""
    try:
        text = path.read_text(encoding="utf-8")
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        position = ERROR_POSITION.search(str(error))
        line = int(position[1]) if position else len(text.splitlines())
        raise FileMistakesError(
            path, [Mistake(line, "", ERROR_POSITION.sub("", str(error)).strip())]
        ) from None
    except (OSError, UnicodeError) as error:
        raise FileMistakesError(path, [Mistake(0, "", f"cannot be read: {error}")]) from None
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        lines = key_lines(text)
        mistakes = [
            Mistake(
                line_of(lines, tuple(item["loc"])),
                ".".join(map(str, item["loc"])),
                item["msg"].removeprefix("Value error, "),
            )
            for item in error.errors()
        ]
        raise FileMistakesError(path, mistakes) from None
