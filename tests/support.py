"""Settings and events shared by the tests."""

from __future__ import annotations

from dataclasses import replace

from mossfront import interface as api

SECOND = 1_000_000
SAFE = api.MessageClass(
    "status", api.Effect.SAFE, aim_us=SECOND, deadline_us=6 * SECOND, worth=2.0, late_worth=0.1
)
KEYED = api.MessageClass(
    "post", api.Effect.KEYED, aim_us=4 * SECOND, deadline_us=16 * SECOND, late_worth=0.5, window_us=4 * SECOND
)
ZONED = api.MessageClass(
    "zoned",
    api.Effect.KEYED,
    aim_us=4 * SECOND,
    deadline_us=20 * SECOND,
    late_worth=0.5,
    window_us=15 * SECOND,
    scope_is_zone=True,
)
UNSAFE = api.MessageClass(
    "order", api.Effect.UNSAFE, aim_us=3 * SECOND, deadline_us=16 * SECOND, worth=4.0, late_worth=0.5
)
ORDERED = api.MessageClass("turn", api.Effect.SAFE, aim_us=SECOND, deadline_us=12 * SECOND, in_order=True)
SETTINGS = api.Settings(
    max_calls=8,
    classes=(SAFE, KEYED, ZONED, UNSAFE, ORDERED),
    kinds=(api.Kind("plain"), api.Kind("split", separate_routes=True, batch_size=3)),
    tenants=(api.Tenant("big", 20.0), api.Tenant("small", 2.0)),
    group_size=2,
    max_held_messages=60,
    max_attempts=4,
    round_us=5_000,
    may_cancel=True,
    drain_grace_us=250_000,
    fall_us=2 * SECOND,
    warm_within_us=10 * SECOND,
    over_share_worth=0.1,
    order_pause_us=700_000,
    answer_slack_us=20_000,
    max_retry_after_us=2 * SECOND,
    advise_retry=True,
)


def settings(**changes: object) -> api.Settings:
    """Return the default test settings with changes."""
    return replace(SETTINGS, **changes)  # type: ignore[arg-type]


def entry(
    host: str,
    dest: int = 1,
    kind: str = "plain",
    listing: api.Listing = api.Listing.READY,
    zone: str = "a",
    rate_hint: float = 1.0,
) -> api.EndpointEntry:
    """Return one entry of the endpoint list."""
    return api.EndpointEntry(host, dest, zone, kind, listing, rate_hint)


def endpoint_update(
    *entries: api.EndpointEntry, kind: api.EndpointUpdateKind = api.EndpointUpdateKind.FULL
) -> api.EndpointUpdate:
    """Return an update of the endpoint list."""
    return api.EndpointUpdate(kind, entries)


def arrival(
    name: str,
    cls: api.MessageClass = SAFE,
    dest: int = 1,
    time_left_us: int | None = None,
    key: str = "",
    tenant: str = "",
) -> api.Arrival:
    """Return a submitted message; ``time_left_us`` defaults to its class's whole deadline."""
    return api.Arrival(
        name, dest, cls.name, cls.deadline_us if time_left_us is None else time_left_us, tenant, key
    )


def attempt_outcome(
    send: api.Send,
    verdict: api.Verdict = api.Verdict.OK,
    attempt: int = 0,
    elapsed_us: int = 100_000,
    retry_after_us: int = 0,
) -> api.Outcome:
    """Return the outcome of a send; a success concludes its message."""
    return api.Outcome(
        send.id, attempt, send.host, verdict, elapsed_us, verdict is api.Verdict.OK, retry_after_us
    )


def sends(actions: list[api.Action]) -> list[api.Send]:
    """Return the sends among actions."""
    return [action for action in actions if isinstance(action, api.Send)]
