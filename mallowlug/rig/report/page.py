"""A record as one HTML file: the verdict, service, and plots over time with outages and ends of lives
marked.
"""

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
SPAN_US = 2_000_000  # of asking time that one point of the service's curve counts
MOST_LINES = 8  # destinations with a line of their own, busiest first
MOST_BREACHES = 200
STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:70em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:left}
.kept{color:#063}.broken{color:#a00}.unknown{color:#850}svg{max-width:100%;height:auto}"""


@dataclass(slots=True)
class Curves:
    """Figures at each step of the run: time in seconds, and by name one value a step."""

    at_s: list[float] = field(default_factory=list)
    held: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))  # by relay
    out: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))  # by destination
    refused: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))  # in the step


@dataclass(slots=True)
class Running:
    """What is open while the events are gone through."""

    asks: dict[str, rec.MessageSubmitted] = field(default_factory=dict)
    taken: Counter[str] = field(default_factory=Counter)  # by relay
    open: set[str] = field(default_factory=set)
    calls: dict[int, rec.Call] = field(default_factory=dict)
    out: Counter[int] = field(default_factory=Counter)  # by destination
    refused: Counter[int] = field(default_factory=Counter)
    dests: dict[str, int] = field(default_factory=dict)

    def over(self, ref: str) -> None:
        """A message has its end."""
        if ref in self.open:
            self.open.discard(ref)
            self.taken[self.asks[ref].relay] -= 1

    def see(self, event: rec.AnyEvent) -> None:
        """Take an event in."""
        match event:
            case rec.HostAdded():
                self.dests[event.host] = event.dest
            case rec.MessageSubmitted():
                self.asks[event.id] = event
            case rec.ClientOutcome(what="taken") if event.id in self.asks and event.id not in self.open:
                self.open.add(event.id)
                self.taken[self.asks[event.id].relay] += 1
            case rec.Call():
                self.calls[event.call] = event
                self.out[self.dests[event.host]] += 1
            case rec.CallAnswered() | rec.CallBroken():
                call = self.calls.pop(event.call, None)
                if call is not None:
                    self.out[self.dests[call.host]] -= 1
                if isinstance(event, rec.CallAnswered) and call is not None:
                    ends = list(event.ends.values())
                    self.refused[self.dests[call.host]] += ends.count("refused")
                    for ref, end in event.ends.items():
                        if end == "delivered":
                            self.over(ref)
            case rec.Notice():
                self.over(event.id)


def curves_of(record: rec.Record) -> Curves:
    """Sample what is open at every step."""
    running, curves, next_us = Running(), Curves(), STEP_US
    relays = sorted({event.relay for event in record.events if isinstance(event, rec.ProcessEvent)})
    dests = sorted({event.dest for event in record.events if isinstance(event, rec.HostAdded)})
    for event in record.events:
        while event.at >= next_us:
            curves.at_s.append(next_us / 1e6)
            for relay in relays:
                curves.held[relay].append(running.taken[relay])
            for dest in dests:
                curves.out[dest].append(running.out[dest])
                curves.refused[dest].append(running.refused.pop(dest, 0))
            next_us += STEP_US
        running.see(event)
    return curves


def marked(axes: Axes, record: rec.Record) -> None:
    """Outages as bands; ends of lives and restarts as lines."""
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


def drawn(record: rec.Record) -> str:
    """The plots as one SVG."""
    curves, requests = curves_of(record), requests_of(record)
    figure = Figure(figsize=(11, 11), layout="constrained")
    service, held, out, refused = figure.subplots(4, 1, sharex=True)
    starts = range(0, max((request.submitted.at for request in requests), default=0) + 1, STEP_US)
    points = [
        (at / 1e6, share(inside))
        for at in starts
        if (inside := [request for request in requests if at - SPAN_US < request.submitted.at <= at])
    ]
    service.plot([at for at, _ in points], [value for _, value in points], color="#036")
    service.set(title="Service of what was asked for in the last 2 s", ylim=(0, 1.05))
    for relay, values in curves.held.items():
        held.plot(curves.at_s, values, label=relay)
    held.set(title="Taken on and not ended, by relay")
    busiest = sorted(curves.out, key=lambda dest: -sum(curves.out[dest]))[:MOST_LINES]
    for dest in busiest:
        out.plot(curves.at_s, curves.out[dest], label=f"dest {dest}")
        refused.plot(curves.at_s, curves.refused[dest], label=f"dest {dest}")
    out.set(title=f"Calls in flight, the {len(busiest)} busiest destinations")
    refused.set(title=f"Refused messages in {STEP_US / 1e6} s", xlabel="s")
    for axes in (service, held, out, refused):
        marked(axes, record)
        axes.grid(alpha=0.2)
        if axes is not service and axes.get_legend_handles_labels()[0]:
            axes.legend(loc="upper right", fontsize="x-small", ncols=4)
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None})
    return text.getvalue()[text.getvalue().index("<svg") :]


def table(rows: list[tuple[str, str]]) -> str:
    """Names and values."""
    cells = "".join(f"<tr><th>{html.escape(n)}</th><td>{html.escape(v)}</td></tr>" for n, v in rows)
    return f"<table>{cells}</table>"


def page(record: rec.Record, verdict: Verdict, service: Service) -> str:
    """The whole report."""
    head = record.head
    figures = [
        (name.replace("_", " "), f"{value:.3f}" if isinstance(value, float) else str(value))
        for name, value in asdict(service).items()
    ]
    checked = [(rule, f"{count} cases") for rule, count in verdict.checked.items()]
    breaches = "".join(f"<li>{html.escape(str(b))}</li>" for b in verdict.breaches[:MOST_BREACHES])
    more = len(verdict.breaches) - MOST_BREACHES
    reasons = "".join(f"<li>{html.escape(reason)}</li>" for reason in verdict.reasons[:MOST_BREACHES])
    happened = [
        (f"{event.at / 1e6:.2f} s", f"{event.what} {event.detail}")
        for event in record.events
        if isinstance(event, rec.Annotation)
    ]
    return f"""<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(head.name)}</title>
<style>{STYLE}</style><h1>{html.escape(head.name)}, seed {head.seed}</h1>
<p class="{verdict.state}">Rules: <b>{verdict.state}</b>, {len(verdict.breaches)} breaches</p>
<ul>{breaches}{f"<li>and {more} more</li>" if more > 0 else ""}{reasons}</ul>
<h2>Service</h2>{table(figures)}{drawn(record)}
<p>Orange: an endpoint is in an outage. Red: a relay is ended. Green: it is ready again.</p>
<h2>Cases in which a rule could have been broken</h2>{table(checked)}
<h2>What happened</h2>{table(happened)}</html>
"""


def write(record: rec.Record, path: Path) -> None:
    """Judge a record and write its report."""
    path.write_text(page(record, judge(record), service_of(record)), encoding="utf-8")
