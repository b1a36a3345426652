"""A TOML file against a model: every mistake with its key and line, never only the first."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

Model = TypeVar("Model", bound=BaseModel)
Path_ = tuple[str | int, ...]
PART = r"(?:[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*')"
DOTTED = rf"{PART}(?:\s*\.\s*{PART})*"
TABLE = re.compile(rf"\s*(\[\[?)\s*({DOTTED})\s*\]\]?\s*(?:#.*)?$")
KEY = re.compile(rf"\s*({DOTTED})\s*=")
LINE = re.compile(r"\(at line (\d+), column \d+\)")


class Strict(BaseModel):
    """A table in which every key has to be known and of its type."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


@dataclass(frozen=True, slots=True, order=True)
class Mistake:
    """What is wrong in one place; line 0 is the file as a whole."""

    line: int
    key: str
    reason: str


class FileMistakesError(ValueError):
    """A file that cannot be used, with all that is wrong in it."""

    def __init__(self, path: Path, mistakes: Sequence[Mistake]) -> None:
        self.path, self.mistakes = path, tuple(sorted(mistakes))
        super().__init__("\n".join(self.lines()))

    def lines(self) -> Iterator[str]:
        """One line for each mistake, as ``file:line: key: reason``."""
        for mistake in self.mistakes:
            place = f"{self.path}:{mistake.line}" if mistake.line else str(self.path)
            yield f"{place}: {mistake.key}: {mistake.reason}" if mistake.key else f"{place}: {mistake.reason}"


def parts_of(dotted: str) -> tuple[str, ...]:
    """A dotted key's parts, without their quotes."""
    return tuple(part.strip("\"'") for part in re.findall(PART, dotted))


def places(text: str) -> dict[Path_, int]:
    """The line of each key and table header; the parser that read the text keeps none."""
    found: dict[Path_, int] = {}
    table: Path_ = ()
    counts: dict[tuple[str, ...], int] = {}
    quote = ""
    for number, line in enumerate(text.splitlines(), 1):
        if quote:  # within a string of many lines nothing is a key
            quote = "" if quote in line else quote
            continue
        if header := TABLE.match(line):
            names = parts_of(header[2])
            if header[1] == "[[":
                counts[names] = counts.get(names, -1) + 1
            table = ()
            for at, name in enumerate(names):
                table = (*table, name)
                if names[: at + 1] in counts:
                    table = (*table, counts[names[: at + 1]])
            found.setdefault(table, number)
        elif key := KEY.match(line):
            found[(*table, *parts_of(key[1]))] = number
            for mark in ('"""', "'''"):
                if line.count(mark) % 2:
                    quote = mark
    return found


def line_of(found: dict[Path_, int], at: Path_) -> int:
    """The line of a key, else of what holds it."""
    while at and at not in found:
        if within := [line for place, line in found.items() if place[: len(at)] == at]:
            return min(within)
        at = at[:-1]
    return found.get(at, 0)


def read(path: Path, model: type[Model]) -> Model:
    """The file as the model's value; ``FileMistakesError`` names all that is wrong."""
    try:
        text = path.read_text(encoding="utf-8")
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        at = LINE.search(str(error))
        line = int(at[1]) if at else len(text.splitlines())
        raise FileMistakesError(path, [Mistake(line, "", LINE.sub("", str(error)).strip())]) from None
    except (OSError, UnicodeError) as error:
        raise FileMistakesError(path, [Mistake(0, "", f"cannot be read: {error}")]) from None
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        found = places(text)
        mistakes = [
            Mistake(
                line_of(found, tuple(item["loc"])),
                ".".join(map(str, item["loc"])),
                item["msg"].removeprefix("Value error, "),
            )
            for item in error.errors()
        ]
        raise FileMistakesError(path, mistakes) from None
