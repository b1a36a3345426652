"""The simulator's words for settings, read into typed values, for the wire and for the sockets."""

from __future__ import annotations

from typing import TypeVar

from mossfront import interface as api

Fields = dict[str, str]
T = TypeVar("T")


class BadLineError(ValueError):
    """A line that the wire does not allow."""


def fields_of(text: str) -> Fields:
    """Split ``name=value`` pairs; a part without ``=`` is malformed."""
    pairs: Fields = {}
    for part in text.split():
        name, sign, value = part.partition("=")
        if not sign or not name:
            raise BadLineError(f"not a name=value pair: {part!r}")
        pairs[name] = value
    return pairs


def need(pairs: Fields, name: str) -> str:
    """A value that has to be there."""
    if not pairs.get(name):
        raise BadLineError(f"missing {name}")
    return pairs[name]


def whole(pairs: Fields, name: str, default: int | None = None) -> int:
    """A whole number, or the default where the wire lets it be absent."""
    text = pairs.get(name)
    if text is None and default is not None:
        return default
    try:
        return int(need(pairs, name))
    except BadLineError:
        raise
    except ValueError:
        raise BadLineError(f"unreadable {name}: {text!r}") from None


def real(pairs: Fields, name: str, default: float) -> float:
    """A number, or the default where it is absent."""
    text = pairs.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        raise BadLineError(f"unreadable {name}: {text!r}") from None


def flag(pairs: Fields, name: str) -> bool:
    """A truth value; absent means no."""
    text = pairs.get(name, "0")
    if text not in ("0", "1", "true", "false"):
        raise BadLineError(f"unreadable {name}: {text!r}")
    return text in ("1", "true")


def known(table: dict[str, T], pairs: Fields, name: str) -> T:
    """A value out of a fixed set of words."""
    word = need(pairs, name)
    if word not in table:
        raise BadLineError(f"unknown {name}: {word!r}")
    return table[word]


def listed(pairs: Fields, name: str) -> list[str]:
    """A comma-joined list, empty where absent."""
    text = pairs.get(name, "")
    return text.split(",") if text else []


def numbers(pairs: Fields, name: str) -> list[float]:
    """A comma-joined list of numbers."""
    try:
        return [float(text) for text in listed(pairs, name)]
    except ValueError:
        raise BadLineError(f"unreadable {name}: {pairs[name]!r}") from None


def class_of(pairs: Fields, number: int) -> api.MessageClass:
    """One item of the list of classes."""
    at = f"request_classes.{number}."
    word = need(pairs, at + "effect")
    if word not in ("safe", "keyed", "unsafe"):
        raise BadLineError(f"unknown {at}effect: {word!r}")
    return api.MessageClass(
        name=need(pairs, at + "name"),
        effect=api.Effect(word),
        aim_us=whole(pairs, at + "aim_us"),
        deadline_us=whole(pairs, at + "deadline_us"),
        worth=real(pairs, at + "worth", 1.0),
        late_worth=real(pairs, at + "late_worth", 0.0),
        window_us=whole(pairs, at + "dedup_window_us", 0),
        scope_is_zone=pairs.get(at + "key_scope", "all") != "all",
        in_order=flag(pairs, at + "by_arrival"),
    )


def settings_of(pairs: Fields) -> api.Settings:
    """The settings of one relay; names that are not known here are left aside."""
    apart, batch = listed(pairs, "domain.kind_apart"), numbers(pairs, "domain.batch_by_kind")
    kinds = tuple(
        api.Kind(name, apart[at : at + 1] == ["true"], int(batch[at]) if at < len(batch) else 1)
        for at, name in enumerate(listed(pairs, "machine_types"))
    )
    tenants = tuple(
        api.Tenant(need(pairs, f"accounts.{at}.name"), real(pairs, f"accounts.{at}.quota_per_s", 0.0))
        for at in range(whole(pairs, "accounts.count", 0))
    )
    classes = tuple(class_of(pairs, at) for at in range(whole(pairs, "request_classes.count")))
    fees = zip(listed(pairs, "zones"), numbers(pairs, "domain.toll"), strict=False)
    weights = pairs.get("weights", "off")
    return api.Settings(
        max_calls=whole(pairs, "domain.calls_out"),
        classes=classes,
        kinds=kinds,
        tenants=tenants,
        zone_fees=dict(fees),
        group_size=whole(pairs, "group_size", 1),
        max_held_messages=whole(pairs, "allowed.open_cap"),
        max_attempts=whole(pairs, "allowed.most_tries"),
        round_us=whole(pairs, "round_us"),
        keepalive_us=whole(pairs, "allowed.keepalive_us", 60_000_000),
        may_duplicate=flag(pairs, "allowed.may_duplicate"),
        may_cancel=flag(pairs, "allowed.cancel"),
        may_probe=flag(pairs, "allowed.probes"),
        advise_retry=flag(pairs, "allowed.retry_after"),
        max_retry_after_us=whole(pairs, "allowed.max_retry_after_us", 0),
        must_subscribe=pairs.get("discovery", "push") == "ask",
        list_is_pushed=pairs.get("discovery", "push") != "ask",
        ask_within_us=whole(pairs, "rules.ask_within_us", 0),
        rate_hints_given=weights in ("nominal", "rough"),
        rate_hints_rough=weights == "rough",
        worth_halves=pairs.get("domain.decay", "line") == "halves",
        over_share_worth=real(pairs, "over_share_worth", 1.0),
        drain_grace_us=whole(pairs, "rules.drain_grace_us"),
        fall_multiple=real(pairs, "rules.fall_multiple", 1.0),
        fall_us=whole(pairs, "rules.fall_us"),
        cold_from=real(pairs, "rules.cold_from", 1.0),
        warm_within_us=whole(pairs, "rules.warm_within_us"),
        answer_slack_us=whole(pairs, "rules.grace_to_answer_us", 0),
        order_pause_us=whole(pairs, "rules.order_pause_us", 0),
    )
