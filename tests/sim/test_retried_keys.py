"""Review case 1 in simulated time: retries of refused messages reach relays that do not know their keys."""

from __future__ import annotations

import pytest
from pytest import MonkeyPatch

from mallowlug.rig.sim import sweep
from mallowlug.rig.world import scenario
from mossfront import engine
from mossfront.interface import Effect
from mossfront.state import Message
from tests.sim.worlds import seeded_fault
from tests.world import ROOT

SCENARIO = ROOT / "scenarios" / "retried-keys.toml"
UNTRIED_SEED = 238  # all links to hosts silent around a kill: endpoints are met with the care of an outage
FOUND_BY = (1, 9, 12, 21)  # on the faulty release a key took effect a second time by a retry


def refused_whatever_the_key_window(monkey: MonkeyPatch) -> None:
    """As in the faulty release: a keyed message in doubt is refused if all zones know its key."""

    def harmless(message: Message, _round_us: int) -> bool:
        keyed_anywhere = message.cls.effect is Effect.KEYED and not message.cls.scope_is_zone
        return message.cls.effect is Effect.SAFE or message.in_doubt_since_us < 0 or keyed_anywhere

    monkey.setattr(engine, "is_client_retry_harmless", harmless)


@pytest.mark.parametrize("seed", FOUND_BY)
def test_a_retry_repeats_no_effect(seed: int) -> None:
    result = sweep.run_seed(scenario.load(SCENARIO), seed)
    assert (result.breaches, result.complaints) == ((), ())


@pytest.mark.parametrize("seed", FOUND_BY)
def test_refusals_whatever_the_key_window_are_detected(seed: int) -> None:
    with seeded_fault(refused_whatever_the_key_window):
        result = sweep.run_seed(scenario.load(SCENARIO), seed)
    details = " ".join(str(breach) for breach in result.breaches)
    assert "refused though an attempt may have run" in details
    assert "took effect again by a retry" in details


def test_recovered_messages_are_attempted_behind_silent_links() -> None:
    result = sweep.run_seed(scenario.load(SCENARIO), UNTRIED_SEED)
    assert result.breaches == ()
