"""The live view in a terminal."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from rich.console import Group, RenderableType
from rich.live import Live
from rich.table import Table

from mallowlug.rig.report.live import LiveState

ROWS = 10  # endpoints shown, busiest first


class Panel:
    """The tables of the view; rich renders them four times a second."""

    def __init__(self, live: LiveState) -> None:
        self.live = live

    def __rich__(self) -> RenderableType:
        live = self.live
        counts = Table(title=f"{live.now_us / 1e6:6.1f} s", expand=True)
        names = ("asked", "taken", "refused", "failed", "silent", "cut", "calls", "dead", "bounced")
        for name in names:
            counts.add_column(name, justify="right")
        counts.add_row(*(str(live.counts[name]) for name in names))
        relays = Table("relay", "state", "open messages", expand=True)
        for name, state in sorted(live.relays.items()):
            relays.add_row(name, state, str(live.open_messages.get(name, 0)))
        hosts = Table("endpoint", "calls in flight", "state", expand=True)
        for name, number in live.calls_in_flight.most_common(ROWS):
            hosts.add_row(name, str(number), live.endpoint_states.get(name, ""))
        recent = Table("when", "what", expand=True)
        for at_us, what in live.recent:
            recent.add_row(f"{at_us / 1e6:.1f} s", what)
        return Group(counts, relays, hosts, recent)


@contextlib.contextmanager
def view(live: LiveState) -> Iterator[None]:
    """Show a run until the block ends."""
    with Live(Panel(live), refresh_per_second=4):
        yield
