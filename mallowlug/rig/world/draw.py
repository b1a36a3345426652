"""Draws endpoints and arrivals from a scenario's seed, and builds the settings of a relay. No I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.scenario import ClassTable, EventTable, KindTable, Scenario


@dataclass(frozen=True, slots=True)
class HostPlan:
    """A drawn endpoint. Rates are messages per second, times are seconds."""

    name: str
    dest: int
    zone: str
    kind: KindTable
    per_s: float  # rate limit, or the capacity if it has no limit
    capacity_per_s: float
    servers: int  # messages processed concurrently
    queue: int  # messages that can wait
    service_time_factor: float  # multiplies the work of a message
    network_s: float
    handshake_s: float
    cold_from: float
    warm_s: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message to submit, ``at_s`` seconds after the run begins."""

    at_s: float
    relay: int
    dest: int
    cls: str
    member: str
    order: str
    size: int


def destination_weights(scenario: Scenario) -> list[float]:
    """Return each destination's share of the traffic (Zipf)."""
    raw = [1 / (rank + 1) ** scenario.load.skew for rank in range(scenario.partners.destinations)]
    return [weight / sum(raw) for weight in raw]


def mean_work_s(scenario: Scenario) -> float:
    """Return a message's mean service time at an endpoint of normal speed."""
    total = sum(cls.share for cls in scenario.classes)
    return sum(cls.share * cls.work_ms / 1000 for cls in scenario.classes) / total


def draw_hosts(scenario: Scenario) -> list[HostPlan]:
    """Draw every endpoint; a destination's endpoints take consecutive zones from a drawn first one."""
    rng, plans = random.Random(f"hosts {scenario.seed}"), list[HostPlan]()
    partners, work_s = scenario.partners, mean_work_s(scenario)
    for dest, weight in enumerate(destination_weights(scenario)):
        relative_load = weight * partners.destinations  # above 1: more traffic than the mean
        chances = [kind.share * relative_load**kind.lean for kind in scenario.kinds]
        kind = rng.choices(scenario.kinds, chances)[0]
        count = max(1, round(rng.uniform(*partners.endpoints)))
        zone = rng.randrange(len(partners.zones))
        for number in range(count):
            load = scenario.load.rate_per_s * weight / count
            per_s = max(rng.uniform(*kind.least_per_s), load * rng.uniform(*kind.headroom))
            service_time_factor = rng.uniform(0.85, 1.1)
            spare_capacity = rng.uniform(1.2, 1.6) if kind.limited else 1.0
            servers = max(1, math.ceil(per_s * spare_capacity * work_s * service_time_factor))
            capacity = servers / (work_s * service_time_factor)
            plans.append(
                HostPlan(
                    name=f"h{dest}-{number}",
                    dest=dest,
                    zone=partners.zones[(zone + number) % len(partners.zones)],
                    kind=kind,
                    per_s=min(per_s, capacity) if kind.limited else capacity,
                    capacity_per_s=capacity,
                    servers=servers,
                    queue=max(2, round(capacity * rng.uniform(*kind.queue_s))),
                    service_time_factor=service_time_factor,
                    network_s=rng.uniform(*partners.network_ms) / 1000,
                    handshake_s=rng.uniform(*kind.handshake_ms) / 1000,
                    cold_from=rng.uniform(*partners.cold_from),
                    warm_s=rng.uniform(*partners.warm_s),
                )
            )
    return plans


def draw_arrivals(scenario: Scenario) -> list[Arrival]:
    """Draw all messages in time order: a Poisson process, part of it in clumps for one destination.

    Listed messages of the scenario replace the drawn ones.
    """
    if scenario.messages:
        listed = sorted(scenario.messages, key=lambda message: message.at_s)
        return [Arrival(m.at_s, m.relay, m.dest, m.cls, m.member, m.order, m.size) for m in listed]
    rng, load = random.Random(f"traffic {scenario.seed}"), scenario.load
    weights, arrivals, at_s = destination_weights(scenario), list[Arrival](), 0.0
    keys = dict[tuple[int, int], list[str]]()
    mean = 1 + load.clumps * (load.clump_size - 1)  # mean messages per point of the Poisson process
    while (at_s := at_s + rng.expovariate(load.rate_per_s / mean)) < scenario.length_s:
        dest = rng.choices(range(len(weights)), weights)[0]
        relay = draw_relay(rng, scenario)
        for _ in range(load.clump_size if rng.random() < load.clumps else 1):
            cls = rng.choices(scenario.classes, [item.share for item in scenario.classes])[0]
            usage = [item.share * item.usage for item in scenario.members]
            member = rng.choices(scenario.members, usage)[0]
            order = (
                draw_order_key(rng, keys.setdefault((relay, dest), []), load.key_reuse)
                if cls.in_order
                else ""
            )
            arrivals.append(Arrival(at_s, relay, dest, cls.name, member.name, order, load.body))
    return arrivals


def draw_relay(rng: random.Random, scenario: Scenario) -> int:
    """Draw the relay of a message: uniform, or by ``load.relay_weights``."""
    count, weights = scenario.relays.count, scenario.load.relay_weights
    if not weights:
        return rng.randrange(count)
    return rng.choices(range(count), [weights[number % len(weights)] for number in range(count)])[0]


def draw_order_key(rng: random.Random, used: list[str], reuse: float) -> str:
    """Draw an ordering key: one of the last four, or a new one."""
    if used and rng.random() < reuse:
        return rng.choice(used[-4:])
    used.append(f"{rng.getrandbits(64):016x}")
    return used[-1]


def draw_affected_hosts(
    scenario: Scenario, hosts: Sequence[HostPlan], event: EventTable, rng: random.Random
) -> list[str]:
    """Return the endpoints of an outage: those of ``dest``, or some of one zone.

    Destinations of the zone are chosen with up to ``part`` of the traffic together, but at least one.
    """
    if event.dest >= 0:
        return [plan.name for plan in hosts if plan.dest == event.dest]
    weights, zone = destination_weights(scenario), rng.choice(scenario.partners.zones)
    inside = sorted({plan.dest for plan in hosts if plan.zone == zone})
    rng.shuffle(inside)
    chosen, traffic = set[int](), 0.0
    for dest in inside:
        if not chosen or traffic + weights[dest] <= event.part:
            chosen.add(dest)
            traffic += weights[dest]
    return [plan.name for plan in hosts if plan.dest in chosen]


def record_head(scenario: Scenario) -> rec.RecordHead:
    """Build the head of the record: the facts by which the run is judged."""
    rate, total = scenario.load.rate_per_s, sum(member.share for member in scenario.members)
    rules = scenario.rules
    return rec.RecordHead(
        at=0,
        name=scenario.name,
        seed=scenario.seed,
        classes=[class_facts(cls) for cls in scenario.classes],
        kinds=[rec.KindSpec(kind.name, kind.apart, kind.batch) for kind in scenario.kinds],
        members=[rec.TenantQuota(m.name, rate * m.share / total) for m in scenario.members],
        figures=rec.RuleLimits(
            drain_grace_us=round(rules.drain_grace_s * 1e6),
            ask_within_us=round(rules.ask_within_s * 1e6),
            fall_multiple=rules.fall_multiple,
            fall_us=round(rules.fall_s * 1e6),
            order_pause_us=round(rules.order_pause_s * 1e6),
            may_duplicate=rules.second_copies,
        ),
        scenario=scenario.model_dump(by_alias=True, mode="json"),
    )


def class_facts(cls: ClassTable) -> rec.ClassSpec:
    """Convert a class to the record's form."""
    return rec.ClassSpec(
        name=cls.name,
        effect=cls.effect,
        aim_us=round(cls.aim_s * 1e6),
        deadline_us=round(cls.deadline_s * 1e6),
        worth=cls.worth,
        late_worth=cls.late_worth,
        window_us=round(cls.window_s * 1e6),
        by_zone=cls.by_zone,
        in_order=cls.in_order,
    )


def relay_settings(scenario: Scenario) -> dict[str, Any]:
    """Build the settings of a relay, in the names of the platform's protocol."""
    head, share = record_head(scenario), 1 / scenario.relays.count
    busy_slots = scenario.load.rate_per_s * mean_work_s(scenario) * share
    rules, figures = scenario.rules, head.figures
    return {
        "accounts": [
            {"name": m.name, "quota_per_s": m.quota_per_s, "share": plan.share}
            for m, plan in zip(head.members, scenario.members, strict=True)
        ],
        "allowed": {
            "cancel": True,
            "connect_timeout_us": 1_000_000,
            "keepalive_us": round(scenario.partners.idle_s * 1e6),
            "max_retry_after_us": round(rules.max_retry_after_s * 1e6),
            "may_duplicate": rules.second_copies,
            "most_tries": rules.max_attempts,
            "open_cap": max(8, round(scenario.relays.hold_s * scenario.load.rate_per_s * share)),
            "probes": False,
            "retry_after": True,
        },
        "discovery": "ask",
        "domain": {
            "batch_by_kind": [kind.batch for kind in scenario.kinds],
            "calls_out": max(3, round(scenario.relays.slots_room * busy_slots)),
            "decay": "line",
            "kind_apart": [kind.apart for kind in scenario.kinds],
            "toll": [0.0 for _ in scenario.partners.zones],
        },
        "group_size": scenario.relays.count,
        "machine_types": [kind.name for kind in scenario.kinds],
        "over_share_worth": figures.over_share_worth,
        "request_classes": [
            {
                "name": cls.name,
                "effect": cls.effect,
                "aim_us": cls.aim_us,
                "deadline_us": cls.deadline_us,
                "worth": cls.worth,
                "late_worth": cls.late_worth,
                "dedup_window_us": cls.window_us,
                "key_scope": "zone" if cls.by_zone else "all",
                "by_arrival": cls.in_order,
            }
            for cls in head.classes
        ],
        "round_us": 5000,
        "rules": {
            "ask_within_us": figures.ask_within_us,
            "cold_from": scenario.partners.cold_from[0],
            "drain_grace_us": figures.drain_grace_us,
            "fall_multiple": figures.fall_multiple,
            "fall_us": figures.fall_us,
            "grace_to_answer_us": 20_000,
            "order_pause_us": figures.order_pause_us,
            "warm_within_us": round(scenario.partners.warm_s[1] * 1e6),
        },
        "weights": "off",
        "zones": list(scenario.partners.zones),
    }
