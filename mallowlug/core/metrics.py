"""What the relay reports of itself: counts that begin at 0 with the process, and their written form.

Every event is counted once, where the core knows it. The format is Prometheus' text exposition format 0.0.4.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mallowlug.core.reasons import Event, Reasons

STATES = ("answered", "deferred", "errored")
MOST_GROUPS = 64  # classes that are told apart: settings that change all day must not grow the process
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
    "host_phases": ("gauge", "Listed hosts by what the relay takes them to be."),
    "conf_loaded_total": ("counter", "Configuration files taken at SIGHUP."),
    "conf_invalid_total": ("counter", "Configuration files turned down at SIGHUP."),
}


@dataclass(frozen=True, slots=True)
class Gauges:
    """What is read off the relay at the moment of a scrape."""

    sends: int
    current: int
    cluster_size: int
    cluster_unhealthy: int
    phases: Mapping[str, int] = field(default_factory=dict)  # hosts by phase


class Metrics:
    """The counts of one process."""

    def __init__(self, groups: Iterable[str]) -> None:
        self.ends: dict[tuple[str, str], int] = {}
        self.loaded, self.invalid = 0, 0
        self.reasons = Reasons()
        self.know(groups)

    def know(self, groups: Iterable[str]) -> None:
        """Classes that are there from now on; those that are dropped keep their counts."""
        for group in groups:
            for state in STATES if len(self.ends) < MOST_GROUPS * len(STATES) else ():
                self.ends.setdefault((group, state), 0)

    def ended(self, group: str, state: str) -> None:
        """One message of a class has ended; a class that no settings named is not counted."""
        if (group, state) in self.ends:
            self.ends[group, state] += 1

    def text(self, now: Gauges) -> str:
        """All figures."""
        plain = {
            "sends_total": now.sends,
            "current": now.current,
            "cluster_size": now.cluster_size,
            "cluster_unhealthy": now.cluster_unhealthy,
            "conf_loaded_total": self.loaded,
            "conf_invalid_total": self.invalid,
        }
        lines = head("transactions_total")
        for (group, state), count in self.ends.items():
            lines.append(f'relay_transactions_total{{group="{escaped(group)}",state="{state}"}} {count}')
        for name, value in plain.items():
            lines += [*head(name), f"relay_{name} {value}"]
        for event in Event:
            lines += labelled(f"{event.value}_total", "reason", self.reasons.total(event))
        lines += labelled("host_phases", "phase", now.phases)
        return "\n".join(lines) + "\n"


def labelled(name: str, label: str, counts: Mapping[str, int]) -> list[str]:
    """A figure with one label."""
    samples = [f'relay_{name}{{{label}="{escaped(value)}"}} {count}' for value, count in counts.items()]
    return [*head(name), *samples]


def head(name: str) -> list[str]:
    """The two lines ahead of a figure."""
    kind, told = HELP[name]
    return [f"# HELP relay_{name} {told}", f"# TYPE relay_{name} {kind}"]


def escaped(value: str) -> str:
    """A label's value as the format wants it."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
