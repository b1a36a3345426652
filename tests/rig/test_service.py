"""Service as the BRIEF defines it, against values that were calculated by hand."""

from __future__ import annotations

import pytest

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.service import service_of
from tests.rig.story import SECOND, Story


def test_all_in_time_is_one() -> None:
    service = service_of(Story().ask(0, "m").call(5, "m").ask(10, "o", "keyed").call(15, "o").record())
    assert service.total == pytest.approx(1.0)
    assert service.whole == service.worst_class == 1.0
    assert (service.asked, service.delivered, service.attempts) == (2, 2, 2)


def test_nothing_delivered_is_nothing() -> None:
    assert service_of(Story().ask(0, "m").notice(100, "m").record()).total == 0.0


def test_worth_falls_linearly_after_the_target_time() -> None:
    """``keyed``: aim 4 s, 0.4 at 12 s; at 8 s it is half way between."""
    service = service_of(Story().ask(0, "m", "keyed").call(7950, "m").record())
    assert service.whole == pytest.approx(0.7)


def test_a_class_counts_by_its_worth() -> None:
    """``safe`` is worth 3: without the ``keyed`` one three quarters are left."""
    service = service_of(Story().ask(0, "m").call(5, "m").ask(0, "o", "keyed").notice(50, "o").record())
    assert service.whole == pytest.approx(0.75)
    assert service.worst_class == 0.0


def test_a_retry_counts_for_its_first_submission_at_its_own_time() -> None:
    story = Story().ask(0, "m", "keyed", said="refused").ask(7000, "m2", "keyed", first="m").call(7950, "m2")
    service = service_of(story.record())
    assert (service.asked, service.delivered) == (1, 1)
    assert service.whole == pytest.approx(0.7)


def test_a_delivery_without_an_acceptance_for_the_client_counts_nothing() -> None:
    assert service_of(Story().ask(0, "m", said="silent").call(5, "m").record()).whole == 0.0


def test_beyond_its_quota_a_message_is_worth_a_tenth() -> None:
    """With a quota of 1/s the bucket holds ten and starts with five: of seven at once two are beyond it."""
    story = Story()
    story.head = rec.RecordHead(
        0, "s", 1, story.head.classes, story.head.kinds, [rec.TenantQuota("m", 1.0)], story.head.figures
    )
    for number in range(7):
        story.ask(0, f"m{number}")
        if number < 5:
            story.call(5 + number, f"m{number}")
    service = service_of(story.record())
    assert service.whole == pytest.approx(5 / 5.2)
    assert service.worst_member == 1.0


def test_the_worst_ten_seconds_are_found() -> None:
    story = Story()
    for second in range(30):
        story.ask(second * 1000, f"m{second}")
        if not 12 <= second < 22:
            story.call(second * 1000 + 5, f"m{second}")
    service = service_of(story.record())
    assert service.worst_window == 0.0
    assert service.whole == pytest.approx(2 / 3)


def test_a_window_with_almost_no_worth_is_ignored() -> None:
    story = Story()
    for number in range(100):
        story.ask(number, f"m{number}").call(number + 200, f"m{number}")
    story.ask(30_000, "late", left_us=SECOND).notice(30_500, "late")
    assert service_of(story.record()).worst_window > 0.99
