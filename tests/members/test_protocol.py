"""The protocol in drawn time: joins, deaths, cuts, bad links, standstills; each plant is found."""

from __future__ import annotations

import contextlib
import math
import random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowlug.fleet import records as rec
from mallowlug.fleet.records import Frame, Rumour
from mallowlug.fleet.swim import Swim, Times
from mallowlug.fleet.view import View
from mallowlug.rig.sim.members import SECOND, FleetNetwork, Link


def settled(size: int, seed: int = 1, **plain: Any) -> FleetNetwork:
    """A fleet that has settled."""
    net = FleetNetwork(seed)
    net.default_link = Link(**plain)
    net.fleet(size)
    assert net.run(60, net.agree) < 60
    return net


def falsely_dead(net: FleetNetwork) -> set[str]:
    """Who was held dead by anybody, of those who live."""
    living = {side.me.relay for side in net.instances.values()}
    return {event.relay for _, event in net.events if event.what == "dead"} & living


@pytest.mark.parametrize("size", [2, 3, 8, 16])
@pytest.mark.parametrize("seed", [1, 2])
def test_all_come_to_the_same_view_and_stay_there(size: int, seed: int) -> None:
    net = settled(size, seed)
    net.events.clear()
    net.run(30)
    assert net.agree() and net.events == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_third_die_at_once_and_one_joins(seed: int) -> None:
    net = settled(9, seed)
    for at in (2, 5, 8):
        net.kill(f"r{at}:1")
    net.start("r9", seeds=["r0:1"])
    assert net.run(120, net.agree) < 120
    assert falsely_dead(net) == set()


@pytest.mark.parametrize("groups", [2, 3])
def test_a_cut_settles_on_each_side_and_heals(groups: int) -> None:
    """For longer than the dead are remembered: seeds from the file are asked all the while."""
    net = FleetNetwork(5)
    net.times = Times(remember_us=40 * SECOND)
    for at in range(9):
        net.start(f"r{at}", seeds=["r0:1", "r1:1", "r2:1"])
    assert net.run(60, net.agree) < 60
    sides = [[f"r{at}:1" for at in range(9) if at % groups == side] for side in range(groups)]
    net.cut(*sides)
    net.run(120)
    assert all(net.agree(side) for side in sides)
    net.heal()
    assert net.run(120, net.agree) < 120


def test_a_bad_link_and_a_one_way_cut_kill_nobody() -> None:
    net = settled(8, 3)
    for one, other in (("r1:1", "r2:1"), ("r2:1", "r1:1")):
        net.links[one, other] = Link(loss=0.3, delay_us=(1000, 300_000), duplication=0.5)
    net.links["r3:1", "r4:1"] = Link(cut=True)
    net.run(120)
    assert falsely_dead(net) == set()


@pytest.mark.parametrize("seed", range(3))
def test_a_fifth_of_all_datagrams_lost_kills_nobody(seed: int) -> None:
    net = settled(10, seed, loss=0.2)
    net.run(120)
    assert falsely_dead(net) == set()


def test_one_that_stood_still_accuses_nobody_and_lives_on() -> None:
    net = settled(6, 4)
    net.suspended_until_us["r3:1"] = net.now_us + 40 * SECOND
    net.run(39)
    assert net.states("r3")["dead"] == 5
    assert net.run(60, net.agree) < 60
    assert not any(address == "r3:1" and event.what == "dead" for address, event in net.events)
    assert net.instances["r3:1"].me.incarnation > 0 and net.instances["r3:1"].me.life == 1


def test_a_leave_is_no_death_and_is_heard_though_a_part_of_it_is_lost() -> None:
    net = settled(8, 2, loss=0.3)
    side = net.instances["r5:1"]
    side.leave()
    net._send_pending("r5:1", side)
    net.kill("r5:1")
    assert net.run(60, lambda: net.states("r5")["left"] == 7) < 60


def test_a_new_life_at_another_address_counts_once_the_old_one_does_not_answer() -> None:
    net = settled(5, 6)
    net.kill("r3:1")
    net.start("r3", life=2, address="moved:1", seeds=["r0:1"])
    assert net.run(60, net.agree) < 60
    assert {side.view.members["r3"].said.address for side in net.instances.values()} == {"moved:1"}


def test_a_second_process_of_an_id_is_told_and_the_first_one_stays() -> None:
    net = settled(5, 7)
    twin = net.start("r3", life=4, address="twin:1", seeds=["r0:1"])
    net.run(60)
    assert twin.clash is not None
    held = {
        s.view.members["r3"].said.address for a, s in net.instances.items() if a not in ("twin:1", "r3:1")
    }
    assert held == {"r3:1"}


def test_fifty_start_at_once_with_half_of_the_seeds_dead() -> None:
    net = FleetNetwork(8)
    for at in range(50):
        net.start(f"r{at}", seeds=["gone:1", "r0:1", "gone:2", "r1:1"])
    assert net.run(60, lambda: all(len(side.view.here()) == 50 for side in net.instances.values())) < 60


def test_rumours_are_passed_on_a_bounded_number_of_times() -> None:
    net = settled(8)
    net.run(30)
    assert all(not side._rumours for side in net.instances.values())


# The view's laws, and what is on the wire.

RUMOURS = st.builds(
    Rumour, relay=st.sampled_from(["a", "b"]), life=st.integers(1, 3), mark=st.just(1),
    incarnation=st.integers(0, 2), state=st.sampled_from(["alive", "suspect", "dead", "left"]),
    address=st.just("a:1"), zone=st.just(""), version=st.just(""), by=st.just("x"),
)  # fmt: skip
OWN = Rumour("me", 1, 1, 0, "alive", "me:1", "", "", "me")


def held(said: list[Rumour]) -> tuple[int, dict[str, Rumour]]:
    """A view after these."""
    view = View(OWN, 0)
    for one in said:
        view.take(one, 0, "rumour")
    return view.digest, {relay: member.said for relay, member in view.members.items()}


@given(st.lists(RUMOURS, max_size=8), st.randoms(use_true_random=False))
def test_a_view_is_the_same_in_any_order_however_often_it_is_told(
    said: list[Rumour], rng: random.Random
) -> None:
    """But for a life that has left: its last word ends what is said of it."""
    stays = [one for one in said if one.state != "left"]
    again = stays + rng.sample(stays, len(stays) // 2)
    rng.shuffle(again)
    assert held(stays) == held(again)


@given(st.lists(RUMOURS, max_size=8))
def test_no_life_comes_back_behind_a_later_one(said: list[Rumour]) -> None:
    view, highest = View(OWN, 0), dict[str, int]()
    for one in said:
        view.take(one, 0, "rumour")
        highest[one.relay] = max(highest.get(one.relay, 0), one.life)
        assert view.members[one.relay].said.life == highest[one.relay]


def framed(body: rec.Body) -> Frame:
    """A frame with that in it."""
    return Frame(rec.VERSION, "f", "a", 1, 1, "a:1", 0, body)


@given(st.binary(max_size=2000))
def test_random_datagrams_are_left_out_with_a_reason(data: bytes) -> None:
    with pytest.raises(rec.ForeignError):
        rec.decoded(data, "f")


@given(st.integers(0, 200), st.binary(max_size=8))
def test_torn_datagrams_are_frames_or_left_out(cut: int, tail: bytes) -> None:
    data = rec.encoded(framed(rec.Page((OWN,) * 3, True)))
    with contextlib.suppress(rec.ForeignError):
        assert rec.decoded(data[:cut] + tail, "f").sender == "a"


def test_other_fleets_versions_and_sizes_are_left_out_and_unknown_fields_passed_over() -> None:
    frame = framed(rec.Ping(1))
    for other, fleet in ((msgspec.structs.replace(frame, version=2), "f"), (frame, "g")):
        with pytest.raises(rec.ForeignError):
            rec.decoded(rec.encoded(other), fleet)
    told = msgspec.msgpack.decode(rec.encoded(frame))
    later = msgspec.msgpack.encode(told | {"new": [1, 2], "body": told["body"] | {"more": "x"}})
    assert rec.decoded(later, "f") == frame
    long = msgspec.structs.replace(OWN, zone="z" * 64, by="y" * 64)
    assert len(rec.encoded(msgspec.structs.replace(frame, rumours=(long,) * 12))) <= rec.MOST_BYTES


@pytest.mark.parametrize("size", [1, 64])
def test_every_page_of_a_table_fits_a_datagram_whatever_the_names(size: int) -> None:
    row = Rumour("r" * size, 2**62, 2**62, 2**62, "suspect", "a" * size, "z" * size, "v" * size, "b" * size)
    pages = rec.pages([row] * 100)
    assert sum(map(len, pages)) == 100
    for page in pages:
        frame = Frame(rec.VERSION, "f" * 64, "s" * 64, 2**62, 2**62, "a" * 64, 2**62, rec.Page(page, True))
        assert len(rec.encoded(frame)) <= rec.MOST_BYTES


def test_the_more_suspect_a_member_the_sooner_it_is_held_dead() -> None:
    """The word of others counts: without it every death took the longest time."""
    net = settled(10, 2)
    net.kill("r4:1")
    net.run(10, lambda: net.states("r4")["alive"] < 9)
    took_s = net.run(60, lambda: net.states("r4")["dead"] == 9)
    assert took_s < 20  # 4 to 24 periods, by how many say so
    words = {event.by for _, event in net.events if event.relay == "r4" and event.what in ("suspect", "dead")}
    assert len(words) > 1


def test_the_longest_suspicion_is_known() -> None:
    """Stated on the operators' page: with nobody else's word, in periods."""
    net = settled(3)
    swim = net.instances["r0:1"]
    swim._suspect_from(net.now_us, swim.view.members["r1"].said)
    found = swim._suspects["r1"]
    assert found.end_us - net.now_us == int(4.0 * max(1.0, math.log10(3)) * 6 * SECOND)


# Plants: small changes of the real code, each seen by one of the checks above.


def refuted_in_vain(monkey: pytest.MonkeyPatch) -> None:
    """A refuted suspicion is ignored."""
    monkey.setattr(Swim, "_about_me", lambda self, now_us, said: None)


def incarnation_reused(monkey: pytest.MonkeyPatch) -> None:
    """Who answers a suspicion does so in the same incarnation."""
    real = Swim._renew
    monkey.setattr(Swim, "_renew", lambda self, now_us, life=None, incarnation=0: real(self, now_us, life, 0))


def old_life_accepted(monkey: pytest.MonkeyPatch) -> None:
    """Whatever comes last counts."""
    monkey.setattr(View, "heeds", lambda self, said: self.members.get(said.relay) is None
                   or self.members[said.relay].said != said)  # fmt: skip


def never_spent(monkey: pytest.MonkeyPatch) -> None:
    """Rumours go on for ever."""
    monkey.setattr(Swim, "_chosen", lambda self: [said for said, _ in self._rumours.values()][:8])


def nobody_asked(monkey: pytest.MonkeyPatch) -> None:
    """The gone and the seeds are not asked once this relay has met anybody."""
    real = Swim._heal
    monkey.setattr(
        Swim, "_heal",
        lambda self, now_us: real(self, now_us) if len(self.view.members) == 1 else setattr(
            self, "_heal_us", now_us + self.times.heal_us),
    )  # fmt: skip


@pytest.mark.parametrize(
    ("plant", "check"),
    [
        (refuted_in_vain, lambda: test_a_fifth_of_all_datagrams_lost_kills_nobody(1)),
        (incarnation_reused, test_one_that_stood_still_accuses_nobody_and_lives_on),
        (old_life_accepted, test_no_life_comes_back_behind_a_later_one),
        (never_spent, test_rumours_are_passed_on_a_bounded_number_of_times),
        (nobody_asked, lambda: test_a_cut_settles_on_each_side_and_heals(2)),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_a_plant_is_found(plant: Any, check: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        check()
