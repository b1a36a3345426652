"""The relay's metrics: counters that start at 0 with the process, and their text form.

Every event is counted once, where the core handles it. The format is the Prometheus text exposition format
0.0.4.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mallowlug.core.reasons import Event, Reasons

STATES = ("answered", "deferred", "errored")
MAX_GROUPS = 64  # classes counted separately: frequent settings changes must not grow the process
HELP = {
    "transactions_total": ("counter", "Messages that ended: delivered; refused or handed back; failed."),
    "sends_total": ("counter", "Messages written whole to hosts."),
    "current": ("gauge", "Messages taken on and not ended."),
    "cluster_size": ("gauge", "Hosts in the list."),
    "cluster_unhealthy": ("gauge", "Listed hosts that are avoided now, by hand or by choice."),
    "client_closes_total": ("counter", "Connections of clients that were closed, by reason."),
    "host_closes_total": ("counter", "Connections to hosts that were closed, by reason."),
    "retries_total": ("counter", "Calls of messages that had one before, by how that one ended."),
    "refusals_total": ("counter", "Messages that were refused or given up, by reason."),
    "undelivered_in_doubt_total": (
        "counter",
        "Messages given up though an attempt may have run, by what the client was told.",
    ),
    "host_phases": ("gauge", "Listed hosts by what the relay takes them to be."),
    "conf_loaded_total": ("counter", "Configuration files taken at SIGHUP."),
    "conf_invalid_total": ("counter", "Configuration files turned down at SIGHUP."),
}


@dataclass(frozen=True, slots=True)
class Gauges:
    """Values read from the relay at a scrape."""

    sends: int  # messages written completely to hosts
    current: int  # accepted messages without a final result
    cluster_size: int
    cluster_unhealthy: int
    phases: Mapping[str, int] = field(default_factory=dict)  # hosts by phase


class Metrics:
    """The counters of one process."""

    def __init__(self, groups: Iterable[str]) -> None:
        self.end_counts: dict[tuple[str, str], int] = {}  # by group (message class) and state
        self.configs_loaded, self.configs_invalid = 0, 0
        self.reasons = Reasons()
        self.add_groups(groups)

    def add_groups(self, groups: Iterable[str]) -> None:
        """Add the classes of new settings as groups; removed classes keep their counts."""
        for group in groups:
            for state in STATES if len(self.end_counts) < MAX_GROUPS * len(STATES) else ():
                self.end_counts.setdefault((group, state), 0)

    def count_end(self, group: str, state: str) -> None:
        """Count the final result of a message; classes that are no known group are not counted."""
        if (group, state) in self.end_counts:
            self.end_counts[group, state] += 1

    def render(self, gauges: Gauges) -> str:
        """Return all metrics in the exposition format."""
        plain = {
            "sends_total": gauges.sends,
            "current": gauges.current,
            "cluster_size": gauges.cluster_size,
            "cluster_unhealthy": gauges.cluster_unhealthy,
            "conf_loaded_total": self.configs_loaded,
            "conf_invalid_total": self.configs_invalid,
        }
        lines = header_lines("transactions_total")
        for (group, state), count in self.end_counts.items():
            lines.append(f'relay_transactions_total{{group="{escape_label(group)}",state="{state}"}} {count}')
        for name, value in plain.items():
            lines += [*header_lines(name), f"relay_{name} {value}"]
        for event in Event:
            lines += format_labelled(f"{event.value}_total", "reason", self.reasons.total(event))
        lines += format_labelled("host_phases", "phase", gauges.phases)
        return "\n".join(lines) + "\n"


def format_labelled(name: str, label: str, counts: Mapping[str, int]) -> list[str]:
    """Return the lines of a metric with one label."""
    samples = [f'relay_{name}{{{label}="{escape_label(value)}"}} {count}' for value, count in counts.items()]
    return [*header_lines(name), *samples]


def header_lines(name: str) -> list[str]:
    """Return the HELP and TYPE lines of a metric."""
    kind, help_text = HELP[name]
    return [f"# HELP relay_{name} {help_text}", f"# TYPE relay_{name} {kind}"]


def escape_label(value: str) -> str:
    """Escape a label's value for the exposition format."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
