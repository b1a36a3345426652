"""Parses settings and field values from the simulator's names; the relay's configuration uses them, too."""

from __future__ import annotations

from typing import TypeVar

from mossfront import interface as api

Fields = dict[str, str]
T = TypeVar("T")


class BadLineError(ValueError):
    """A line or value that violates the simulator's protocol."""


def parse_fields(text: str) -> Fields:
    """Split text into ``name=value`` pairs; raise BadLineError for a part without a name or ``=``."""
    pairs: Fields = {}
    for part in text.split():
        name, separator, value = part.partition("=")
        if not separator or not name:
            raise BadLineError(f"not a name=value pair: {part!r}")
        pairs[name] = value
    return pairs


def required_field(pairs: Fields, name: str) -> str:
    """Return a value that must be present and not empty."""
    if not pairs.get(name):
        raise BadLineError(f"missing {name}")
    return pairs[name]


def int_field(pairs: Fields, name: str, default: int | None = None) -> int:
    """Return an integer; the default, if there is one, where it is absent."""
    text = pairs.get(name)
    if text is None and default is not None:
        return default
    try:
        return int(required_field(pairs, name))
    except BadLineError:
        raise
    except ValueError:
        raise BadLineError(f"unreadable {name}: {text!r}") from None


def float_field(pairs: Fields, name: str, default: float) -> float:
    """Return a float, or the default where it is absent."""
    text = pairs.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        raise BadLineError(f"unreadable {name}: {text!r}") from None


def bool_field(pairs: Fields, name: str) -> bool:
    """Return a boolean; false where it is absent."""
    text = pairs.get(name, "0")
    if text not in ("0", "1", "true", "false"):
        raise BadLineError(f"unreadable {name}: {text!r}")
    return text in ("1", "true")


def enum_field(table: dict[str, T], pairs: Fields, name: str) -> T:
    """Return the table's entry for a value that must be one of its keys."""
    word = required_field(pairs, name)
    if word not in table:
        raise BadLineError(f"unknown {name}: {word!r}")
    return table[word]


def list_field(pairs: Fields, name: str) -> list[str]:
    """Return a comma-separated list; empty where it is absent."""
    text = pairs.get(name, "")
    return text.split(",") if text else []


def float_list_field(pairs: Fields, name: str) -> list[float]:
    """Return a comma-separated list of floats."""
    try:
        return [float(text) for text in list_field(pairs, name)]
    except ValueError:
        raise BadLineError(f"unreadable {name}: {pairs[name]!r}") from None


def parse_class(pairs: Fields, index: int) -> api.MessageClass:
    """Return the message class with this index."""
    prefix = f"request_classes.{index}."
    word = required_field(pairs, prefix + "effect")
    if word not in ("safe", "keyed", "unsafe"):
        raise BadLineError(f"unknown {prefix}effect: {word!r}")
    return api.MessageClass(
        name=required_field(pairs, prefix + "name"),
        effect=api.Effect(word),
        aim_us=int_field(pairs, prefix + "aim_us"),
        deadline_us=int_field(pairs, prefix + "deadline_us"),
        worth=float_field(pairs, prefix + "worth", 1.0),
        late_worth=float_field(pairs, prefix + "late_worth", 0.0),
        window_us=int_field(pairs, prefix + "dedup_window_us", 0),
        scope_is_zone=pairs.get(prefix + "key_scope", "all") != "all",
        in_order=bool_field(pairs, prefix + "by_arrival"),
    )


def parse_settings(pairs: Fields) -> api.Settings:
    """Return the settings of one relay; unknown names are ignored."""
    separate_routes, batch_sizes = (
        list_field(pairs, "domain.kind_apart"),
        float_list_field(pairs, "domain.batch_by_kind"),
    )
    kinds = tuple(
        api.Kind(
            name,
            separate_routes[index : index + 1] == ["true"],
            int(batch_sizes[index]) if index < len(batch_sizes) else 1,
        )
        for index, name in enumerate(list_field(pairs, "machine_types"))
    )
    tenants = tuple(
        api.Tenant(
            required_field(pairs, f"accounts.{index}.name"),
            float_field(pairs, f"accounts.{index}.quota_per_s", 0.0),
        )
        for index in range(int_field(pairs, "accounts.count", 0))
    )
    classes = tuple(parse_class(pairs, index) for index in range(int_field(pairs, "request_classes.count")))
    fees = zip(list_field(pairs, "zones"), float_list_field(pairs, "domain.toll"), strict=False)
    rate_hints = pairs.get("weights", "off")
    return api.Settings(
        max_calls=int_field(pairs, "domain.calls_out"),
        classes=classes,
        kinds=kinds,
        tenants=tenants,
        zone_fees=dict(fees),
        group_size=int_field(pairs, "group_size", 1),
        max_held_messages=int_field(pairs, "allowed.open_cap"),
        max_attempts=int_field(pairs, "allowed.most_tries"),
        round_us=int_field(pairs, "round_us"),
        keepalive_us=int_field(pairs, "allowed.keepalive_us", 60_000_000),
        may_duplicate=bool_field(pairs, "allowed.may_duplicate"),
        may_cancel=bool_field(pairs, "allowed.cancel"),
        may_probe=bool_field(pairs, "allowed.probes"),
        advise_retry=bool_field(pairs, "allowed.retry_after"),
        max_retry_after_us=int_field(pairs, "allowed.max_retry_after_us", 0),
        must_subscribe=pairs.get("discovery", "push") == "ask",
        list_is_pushed=pairs.get("discovery", "push") != "ask",
        ask_within_us=int_field(pairs, "rules.ask_within_us", 0),
        rate_hints_given=rate_hints in ("nominal", "rough"),
        rate_hints_rough=rate_hints == "rough",
        worth_halves=pairs.get("domain.decay", "line") == "halves",
        over_share_worth=float_field(pairs, "over_share_worth", 1.0),
        drain_grace_us=int_field(pairs, "rules.drain_grace_us"),
        fall_multiple=float_field(pairs, "rules.fall_multiple", 1.0),
        fall_us=int_field(pairs, "rules.fall_us"),
        cold_from=float_field(pairs, "rules.cold_from", 1.0),
        warm_within_us=int_field(pairs, "rules.warm_within_us"),
        answer_slack_us=int_field(pairs, "rules.grace_to_answer_us", 0),
        order_pause_us=int_field(pairs, "rules.order_pause_us", 0),
    )
