"""The report of a record as one HTML file: verdict, service, and plots with outages and restarts marked."""

from __future__ import annotations

import html
import io
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from pathlib import Path

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.rules import Verdict, judge
from mallowlug.rig.judge.service import Service, requests_of, service_of, share

STEP_US = 500_000
SERVICE_WINDOW_US = 2_000_000  # submission times that one point of the service curve covers
MAX_LINES = 8  # max destinations in a plot, busiest first
MAX_BREACHES = 200
STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:70em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:left}
.kept{color:#063}.broken{color:#a00}.unknown{color:#850}svg{max-width:100%;height:auto}"""


@dataclass(slots=True)
class Curves:
    """Values for the plots: the time of each step in seconds, and by name one value per step."""

    at_s: list[float] = field(default_factory=list)
    open_messages: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))  # by relay
    calls_in_flight: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))  # by destination
    refused: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))  # in the step


@dataclass(slots=True)
class OpenState:
    """Open messages and calls at the current event."""

    submitted: dict[str, rec.MessageSubmitted] = field(default_factory=dict)
    open_by_relay: Counter[str] = field(default_factory=Counter)
    open_messages: set[str] = field(default_factory=set)
    calls: dict[int, rec.Call] = field(default_factory=dict)
    calls_in_flight: Counter[int] = field(default_factory=Counter)  # by destination
    refused: Counter[int] = field(default_factory=Counter)
    destination_of: dict[str, int] = field(default_factory=dict)

    def end_message(self, ref: str) -> None:
        """Note the final result of a message."""
        if ref in self.open_messages:
            self.open_messages.discard(ref)
            self.open_by_relay[self.submitted[ref].relay] -= 1

    def apply(self, event: rec.AnyEvent) -> None:
        """Update the state with an event."""
        match event:
            case rec.HostAdded():
                self.destination_of[event.host] = event.dest
            case rec.MessageSubmitted():
                self.submitted[event.id] = event
            case rec.ClientOutcome(what="taken") if (
                event.id in self.submitted and event.id not in self.open_messages
            ):
                self.open_messages.add(event.id)
                self.open_by_relay[self.submitted[event.id].relay] += 1
            case rec.Call():
                self.calls[event.call] = event
                self.calls_in_flight[self.destination_of[event.host]] += 1
            case rec.CallAnswered() | rec.CallBroken():
                call = self.calls.pop(event.call, None)
                if call is not None:
                    self.calls_in_flight[self.destination_of[call.host]] -= 1
                if isinstance(event, rec.CallAnswered) and call is not None:
                    ends = list(event.ends.values())
                    self.refused[self.destination_of[call.host]] += ends.count("refused")
                    for ref, end in event.ends.items():
                        if end == "delivered":
                            self.end_message(ref)
            case rec.Notice():
                self.end_message(event.id)


def curves_of(record: rec.Record) -> Curves:
    """Sample open messages, calls in flight and refusals at every step."""
    open_state, curves, next_us = OpenState(), Curves(), STEP_US
    relays = sorted({event.relay for event in record.events if isinstance(event, rec.ProcessEvent)})
    destinations = sorted({event.dest for event in record.events if isinstance(event, rec.HostAdded)})
    for event in record.events:
        while event.at >= next_us:
            curves.at_s.append(next_us / 1e6)
            for relay in relays:
                curves.open_messages[relay].append(open_state.open_by_relay[relay])
            for dest in destinations:
                curves.calls_in_flight[dest].append(open_state.calls_in_flight[dest])
                curves.refused[dest].append(open_state.refused.pop(dest, 0))
            next_us += STEP_US
        open_state.apply(event)
    return curves


def draw_marks(axes: Axes, record: rec.Record) -> None:
    """Draw outages as bands, and process ends and restarts as lines."""
    began: dict[str, int] = {}
    for event in record.events:
        if isinstance(event, rec.HostStateChange):
            if event.state == "out":
                began.setdefault(event.host, event.at)
            elif event.host in began and event.state == "back":
                axes.axvspan(began.pop(event.host) / 1e6, event.at / 1e6, color="#c60", alpha=0.06, lw=0)
        elif isinstance(event, rec.ProcessEvent) and event.what in ("kill", "term"):
            axes.axvline(event.at / 1e6, color="#a00", lw=1, ls="--")
        elif isinstance(event, rec.ProcessEvent) and event.what == "ready":
            axes.axvline(event.at / 1e6, color="#063", lw=1, ls=":")


def plots_svg(record: rec.Record) -> str:
    """Return the plots as one SVG."""
    curves, requests = curves_of(record), requests_of(record)
    figure = Figure(figsize=(11, 11), layout="constrained")
    service_axes, open_axes, calls_axes, refused_axes = figure.subplots(4, 1, sharex=True)
    starts = range(0, max((request.submitted.at for request in requests), default=0) + 1, STEP_US)
    points = [
        (at / 1e6, share(inside))
        for at in starts
        if (inside := [r for r in requests if at - SERVICE_WINDOW_US < r.submitted.at <= at])
    ]
    service_axes.plot([at for at, _ in points], [value for _, value in points], color="#036")
    service_axes.set(title="Service of messages submitted in the last 2 s", ylim=(0, 1.05))
    for relay, values in curves.open_messages.items():
        open_axes.plot(curves.at_s, values, label=relay)
    open_axes.set(title="Accepted messages without a final result, by relay")
    busiest = sorted(curves.calls_in_flight, key=lambda dest: -sum(curves.calls_in_flight[dest]))[:MAX_LINES]
    for dest in busiest:
        calls_axes.plot(curves.at_s, curves.calls_in_flight[dest], label=f"dest {dest}")
        refused_axes.plot(curves.at_s, curves.refused[dest], label=f"dest {dest}")
    calls_axes.set(title=f"Calls in flight, the {len(busiest)} busiest destinations")
    refused_axes.set(title=f"Refused messages in {STEP_US / 1e6} s", xlabel="s")
    for axes in (service_axes, open_axes, calls_axes, refused_axes):
        draw_marks(axes, record)
        axes.grid(alpha=0.2)
        if axes is not service_axes and axes.get_legend_handles_labels()[0]:
            axes.legend(loc="upper right", fontsize="x-small", ncols=4)
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None})
    return text.getvalue()[text.getvalue().index("<svg") :]


def table(rows: list[tuple[str, str]]) -> str:
    """Return an HTML table of names and values."""
    cells = "".join(f"<tr><th>{html.escape(n)}</th><td>{html.escape(v)}</td></tr>" for n, v in rows)
    return f"<table>{cells}</table>"


def page(record: rec.Record, verdict: Verdict, service: Service) -> str:
    """Return the whole report as HTML."""
    head = record.head
    figures = [
        (name.replace("_", " "), f"{value:.3f}" if isinstance(value, float) else str(value))
        for name, value in asdict(service).items()
    ]
    checked = [(rule, f"{count} cases") for rule, count in verdict.checked.items()]
    breaches = "".join(f"<li>{html.escape(str(b))}</li>" for b in verdict.breaches[:MAX_BREACHES])
    more = len(verdict.breaches) - MAX_BREACHES
    reasons = "".join(f"<li>{html.escape(reason)}</li>" for reason in verdict.reasons[:MAX_BREACHES])
    annotations = [
        (f"{event.at / 1e6:.2f} s", f"{event.what} {event.detail}")
        for event in record.events
        if isinstance(event, rec.Annotation)
    ]
    return f"""<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(head.name)}</title>
<style>{STYLE}</style><h1>{html.escape(head.name)}, seed {head.seed}</h1>
<p class="{verdict.state}">Rules: <b>{verdict.state}</b>, {len(verdict.breaches)} breaches</p>
<ul>{breaches}{f"<li>and {more} more</li>" if more > 0 else ""}{reasons}</ul>
<h2>Service</h2>{table(figures)}{plots_svg(record)}
<p>Orange: an endpoint is in an outage. Red: a relay is stopped. Green: it is ready again.</p>
<h2>Cases in which a rule could have been broken</h2>{table(checked)}
<h2>Events</h2>{table(annotations)}</html>
"""


def write(record: rec.Record, path: Path) -> None:
    """Judge a record and write its report."""
    path.write_text(page(record, judge(record), service_of(record)), encoding="utf-8")
