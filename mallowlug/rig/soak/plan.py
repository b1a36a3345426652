"""Generates the scenario of a soak seed: endpoints, load, outages, signals and malformed clients. No I/O.

Every value is within the limits of the protocol. Outages end early enough for their slow start to be judged.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from mallowlug.rig.world.repeats import draw_repeats
from mallowlug.rig.world.scenario import Scenario

OUTAGES = ("refuse", "silent", "shut")
# Seconds at the start, and at the end, without an outage.
EARLIEST_OUTAGE_S, FINAL_QUIET_S = 4.0, 5.0
RELAY_WEIGHTS: tuple[tuple[float, ...], ...] = ((), (0.5, 1.5), (0.2, 0.5, 1.0, 1.0, 3.0))
MIN_DESTINATIONS, MAX_DESTINATIONS = 6, 16  # destinations
CROWD_RELAYS, CROWD_SOCKETS = 6, 192  # idle connections exhaust the descriptors of a few relays
SIGNAL_OFFSETS_S = (-2.0, -0.5, 0.3, 1.0, 3.0)  # s from an outage's end to a signal


@dataclass(frozen=True, slots=True)
class Profile:
    """The features of a kind of scenario, and the ranges that its values are drawn from."""

    simultaneous: bool = False  # whole destinations are out at once, most with a Retry-After wait
    other_faults: bool = False  # other faults besides outages
    idle_connections: bool = False  # idle clients exhaust the descriptors
    min_destinations: int = MIN_DESTINATIONS
    # Messages/s per destination: each one is noticeable at a cold endpoint.
    per_destination_s: tuple[float, float] = (4.0, 9.0)
    endpoints: tuple[list[int], ...] = ([1, 1], [1, 2], [1, 4])


OUTAGES_ONLY = Profile()
SIMULTANEOUS = Profile(
    simultaneous=True,
    min_destinations=MAX_DESTINATIONS,
    per_destination_s=(6.0, 8.0),
    endpoints=([2, 2], [1, 3]),
)
PROFILES = (
    OUTAGES_ONLY,
    SIMULTANEOUS,
    Profile(other_faults=True),
    Profile(other_faults=True, idle_connections=True),
)


def soak_scenario(seed: int, relays: int, length_s: float, repeats: bool = False) -> Scenario:
    """Generate the scenario of a seed; ``repeats`` adds hosts and a platform that write answers twice."""
    rng = random.Random(f"soak {seed}")
    profile = PROFILES[seed % len(PROFILES)]
    count = min(relays, CROWD_RELAYS) if profile.idle_connections else relays
    destinations = max(profile.min_destinations, rng.randint(MIN_DESTINATIONS, MAX_DESTINATIONS))
    outages = _simultaneous_outages if profile.simultaneous else _outages
    events = outages(rng, destinations, length_s)
    events += _signals(rng, events, count, length_s)
    if profile.other_faults:
        events += _other_faults(rng, length_s)
    if repeats:
        events += draw_repeats(random.Random(f"soak repeats {seed}"), length_s)
    if profile.idle_connections:
        events.append({"at_s": 3.0, "what": "crowd", "len_s": length_s / 2, "count": CROWD_SOCKETS})
    tables: dict[str, Any] = {
        "name": f"soak-{seed}",
        "seed": seed,
        "length_s": length_s,
        "load": _load(rng, destinations, profile),
        "relays": {
            "count": count, "slots_room": rng.uniform(2.0, 6.0), "hold_s": rng.uniform(6.0, 12.0),
            "sockets": CROWD_SOCKETS if profile.idle_connections else 384,
        },
        "partners": {
            "destinations": destinations,
            "endpoints": rng.choice(profile.endpoints),
            "cold_from": rng.choice(([0.2, 0.3], [0.27, 0.38])),
        },
        "clients": {"retries": rng.randint(0, 3), "honour": rng.uniform(0.3, 1.0)},
        "rules": {"fall_multiple": rng.choice((1.5, 1.5, 2.0)), "max_attempts": rng.randint(3, 8)},
        "class": _classes(rng),
        "kind": _kinds(rng, profile),
        "event": sorted(events, key=lambda event: float(event["at_s"])),
    }  # fmt: skip
    return Scenario.model_validate(tables)


def _load(rng: random.Random, destinations: int, profile: Profile) -> dict[str, Any]:
    """Draw the rate, the clumps, and the distribution over destinations and relays."""
    return {
        "rate_per_s": destinations * rng.uniform(*profile.per_destination_s),
        "clumps": rng.choice((0.0, 0.1, 0.3)),
        "clump_size": rng.choice((2, 4, 8)),
        "skew": rng.uniform(0.1, 0.8),
        "relay_weights": rng.choice(RELAY_WEIGHTS),
    }


def _classes(rng: random.Random) -> list[dict[str, Any]]:
    """Draw one class with a random effect, and one safe class."""
    aim_s, window_s = rng.uniform(2.0, 5.0), rng.choice((1.0, 4.0, 25.0))
    return [
        {
            "name": "postings", "share": 0.69, "effect": rng.choice(("keyed", "keyed", "unsafe", "safe")),
            "work_ms": rng.uniform(80, 260), "aim_s": aim_s, "deadline_s": rng.uniform(2.0, 3.5) * aim_s,
            "late_worth": 0.4, "window_s": window_s, "by_zone": rng.random() < 0.5,
        },
        {
            "name": "status", "share": 0.31, "effect": "safe", "work_ms": rng.uniform(100, 300),
            "aim_s": 3.0, "deadline_s": rng.uniform(5.0, 12.0), "worth": 3.0, "late_worth": 0.5,
        },
    ]  # fmt: skip


def _kinds(rng: random.Random, profile: Profile) -> list[dict[str, Any]]:
    """Draw rate-limited endpoints with batches, and plain ones, with little spare capacity."""
    low = rng.uniform(0.7, 1.1)
    headroom = [low, low + rng.uniform(0.2, 0.8)]
    tells_wait = 0.3
    if profile.simultaneous:
        headroom, tells_wait = [0.8, 1.1], rng.choice((0.8, 1.0))
    return [
        {
            "name": "banks", "share": 1.0, "lean": 1.0, "batch": rng.choice((1, 4, 10)), "limited": True,
            "headroom": headroom, "refused_count": rng.random() < 0.5,
        },
        {
            "name": "lots", "share": 2.0, "tells_wait": tells_wait, "error_rate": rng.choice((0.005, 0.03)),
            "headroom": headroom,
        },
    ]  # fmt: skip


def _outages(rng: random.Random, destinations: int, length_s: float) -> list[dict[str, Any]]:
    """Draw two or three early outages at once and as many later, each at a different destination."""
    last_s = length_s - FINAL_QUIET_S
    affected = rng.sample(range(destinations), min(destinations, rng.randint(4, 6)))
    events = list[dict[str, Any]]()
    for number, dest in enumerate(affected):
        at_s = (
            EARLIEST_OUTAGE_S + rng.uniform(0, 2)
            if number % 2
            else max(EARLIEST_OUTAGE_S, last_s / 2 + rng.uniform(0, 2))
        )
        len_s = min(rng.uniform(7, 13), last_s - at_s)
        events.append({"at_s": at_s, "what": rng.choice(OUTAGES), "len_s": len_s, "dest": dest})
    return events


def _simultaneous_outages(rng: random.Random, destinations: int, length_s: float) -> list[dict[str, Any]]:
    """Draw two groups of destinations that fail and return together, mostly with a Retry-After wait."""
    dests = rng.sample(range(destinations), 9)
    second_s = length_s / 2 + rng.uniform(0, 2)
    events = list[dict[str, Any]]()
    for at_s, affected in ((EARLIEST_OUTAGE_S, dests[:5]), (second_s, dests[5:])):
        len_s = min(rng.uniform(7, 11), length_s - FINAL_QUIET_S - at_s)
        for dest in affected:
            what = rng.choice(("shut", "shut", "shut", *OUTAGES))
            events.append({"at_s": at_s, "what": what, "len_s": len_s, "dest": dest})
    return events


def _signals(
    rng: random.Random, outages: list[dict[str, Any]], relays: int, length_s: float
) -> list[dict[str, Any]]:
    """Draw series of kills, terminations and reloads of some relays around the ends of outages."""
    events = list[dict[str, Any]]()
    for relay in rng.sample(range(relays), max(1, relays // rng.choice((4, 10, 20)))):
        outage = rng.choice(outages)
        at_s = outage["at_s"] + outage["len_s"] + rng.choice(SIGNAL_OFFSETS_S)
        for what in rng.choice((["kill"], ["term"], ["hup", "kill"], ["kill", "term"], ["hup"])):
            if at_s < length_s - 1:
                events.append({"at_s": at_s, "what": what, "relay": relay})
            at_s += rng.uniform(2.0, 7.0)
    return events


def _other_faults(rng: random.Random, length_s: float) -> list[dict[str, Any]]:
    """Draw three faults: discovery, drains, replacements, corrupt answers, malformed clients, slowness."""
    drawn: list[dict[str, Any]] = [
        {"what": "directory_out", "len_s": rng.uniform(3, 10)},
        {"what": "drain", "count": 2, "len_s": 4.0},
        {"what": "replace", "count": 1},
        {"what": "garble", "part": 0.1, "len_s": 5.0},
        {"what": "rude", "count": 40, "len_s": 8.0},
        {"what": "slow", "part": 0.2, "size": 8.0, "len_s": 6.0},
    ]
    chosen = rng.sample(drawn, 3)
    return [{"at_s": rng.uniform(2.0, length_s - 12.0)} | event for event in chosen]
