"""The simulator's words for settings, read into typed values, for the wire and for the sockets."""

from __future__ import annotations

from typing import TypeVar

from mossfront import interface as api

Fields = dict[str, str]
T = TypeVar("T")


class BadLineError(ValueError):
    """A line that the wire does not allow."""


def parse_fields(text: str) -> Fields:
    """Split ``name=value`` pairs; a part without ``=`` is malformed."""
    pairs: Fields = {}
    for part in text.split():
        name, separator, value = part.partition("=")
        if not separator or not name:
            raise BadLineError(f"not a name=value pair: {part!r}")
        pairs[name] = value
    return pairs


def required_field(pairs: Fields, name: str) -> str:
    """A value that has to be there."""
    if not pairs.get(name):
        raise BadLineError(f"missing {name}")
    return pairs[name]


def int_field(pairs: Fields, name: str, default: int | None = None) -> int:
    """A whole number, or the default where the wire lets it be absent."""
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
    """A number, or the default where it is absent."""
    text = pairs.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        raise BadLineError(f"unreadable {name}: {text!r}") from None


def bool_field(pairs: Fields, name: str) -> bool:
    """A truth value; absent means no."""
    text = pairs.get(name, "0")
    if text not in ("0", "1", "true", "false"):
        raise BadLineError(f"unreadable {name}: {text!r}")
    return text in ("1", "true")


def enum_field(table: dict[str, T], pairs: Fields, name: str) -> T:
    """A value out of a fixed set of words."""
    word = required_field(pairs, name)
    if word not in table:
        raise BadLineError(f"unknown {name}: {word!r}")
    return table[word]


def list_field(pairs: Fields, name: str) -> list[str]:
    """A comma-joined list, empty where absent."""
    text = pairs.get(name, "")
    return text.split(",") if text else []


def float_list_field(pairs: Fields, name: str) -> list[float]:
    """A comma-joined list of numbers."""
    try:
        return [float(text) for text in list_field(pairs, name)]
    except ValueError:
        raise BadLineError(f"unreadable {name}: {pairs[name]!r}") from None


def parse_class(pairs: Fields, index: int) -> api.MessageClass:
    """One item of the list of classes."""
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
    """The settings of one relay; names that are not known here are left aside."""
    separate_routes, batch_sizes = (
        list_field(pairs, "domain.kind_apart"),
        float_list_field(pairs, "domain.batch_by_kind"),
    )
    kinds = tuple(
        api.Kind(
            name,
            separate_routes[at : at + 1] == ["true"],
            int(batch_sizes[at]) if at < len(batch_sizes) else 1,
        )
        for at, name in enumerate(list_field(pairs, "machine_types"))
    )
    tenants = tuple(
        api.Tenant(
            required_field(pairs, f"accounts.{at}.name"),
            float_field(pairs, f"accounts.{at}.quota_per_s", 0.0),
        )
        for at in range(int_field(pairs, "accounts.count", 0))
    )
    classes = tuple(parse_class(pairs, at) for at in range(int_field(pairs, "request_classes.count")))
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
