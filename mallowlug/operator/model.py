"""The model of the operator file, and its conversion to the composition root's values.

Imported only by a run with ``--operator``: some deployments lack the memory for the validation library.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, field_validator

from mallowlug import toml_check
from mallowlug.config import DEFAULT_EXTRAS, ConfigError, Extras, FleetPlan, FrontPlan, address_of


def check_address(text: str) -> str:
    """Validate ``host:port``."""
    try:
        address_of(text)
    except ConfigError as error:
        raise ValueError(str(error)) from None
    return text


AddressText = Annotated[str, AfterValidator(check_address)]


class FrontTable(toml_check.Strict):
    """``[[front]]``: an additional listener."""

    kind: Literal["resp2"]
    listen: AddressText
    connections: int = Field(default=64, ge=1, le=65_536)


class LogTable(toml_check.Strict):
    """``[log]``."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"


class JournalTable(toml_check.Strict):
    """``[journal]``: whether accepted messages also survive a power loss."""

    durable: bool = False


class DestinationsTable(toml_check.Strict):
    """``[destinations]``: how many stay active without use, and when others become inactive."""

    awake: int = Field(default=DEFAULT_EXTRAS.active_destinations, ge=1, le=1_000_000)
    rest_s: float = Field(default=DEFAULT_EXTRAS.inactive_after_s, ge=30.0, le=86_400.0)


class FleetTable(toml_check.Strict):
    """``[fleet]``: membership in a fleet of relays that keep a view of each other by datagrams."""

    name: str = Field(pattern=r"^[!-~]{1,64}$")
    listen: AddressText
    advertise: AddressText | None = None  # announced to the others, if it differs from listen
    seeds: tuple[AddressText, ...] = Field(default=(), strict=False, max_length=4096)
    zone: str = Field(default="", max_length=64)
    period_s: float = Field(default=1.0, ge=0.05, le=60.0)
    settle_s: float = Field(default=30.0, ge=0.0, le=3600.0)

    def plan(self) -> FleetPlan:
        """Convert the table to the composition root's value."""
        advertised = self.advertise or self.listen
        listen = address_of(self.listen)
        return FleetPlan(self.name, listen, advertised, self.seeds, self.zone, self.period_s, self.settle_s)


class OperatorFile(toml_check.Strict):
    """The whole file; every table is optional."""

    log: LogTable = LogTable()
    journal: JournalTable = JournalTable()
    destinations: DestinationsTable = DestinationsTable()
    front: tuple[FrontTable, ...] = Field(default=(), strict=False)
    fleet: FleetTable | None = None

    @field_validator("front")
    @classmethod
    def reject_shared_addresses(cls, fronts: tuple[FrontTable, ...]) -> tuple[FrontTable, ...]:
        """Reject two fronts with the same address."""
        seen: dict[str, int] = {}
        for index, front in enumerate(fronts):
            if (first := seen.setdefault(front.listen, index)) != index:
                raise ValueError(f"front.{index}.listen: {front.listen} is front.{first}'s already")
        return fronts


def load(path: Path) -> Extras:
    """Read an operator file; raises ``toml_check.FileMistakesError`` (a ``ValueError``) with all mistakes."""
    operator_file = toml_check.read(path, OperatorFile)
    fronts = tuple(
        FrontPlan(front.kind, address_of(front.listen), front.connections) for front in operator_file.front
    )
    return Extras(
        log_level=operator_file.log.level.upper(),
        log_format=operator_file.log.format,
        fronts=fronts,
        durable=operator_file.journal.durable,
        active_destinations=operator_file.destinations.awake,
        inactive_after_s=operator_file.destinations.rest_s,
        fleet=operator_file.fleet.plan() if operator_file.fleet is not None else None,
    )
