"""The fleet protocol in simulated time: joins, deaths, partitions, lossy links, pauses, seeded faults."""

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
from mallowlug.fleet.records import Frame, MemberUpdate
from mallowlug.fleet.swim import ProtocolTimes, Swim
from mallowlug.fleet.view import View
from mallowlug.rig.sim.members import SECOND, FleetNetwork, Link


def settled_net(size: int, seed: int = 1, **plain: Any) -> FleetNetwork:
    """Run a fleet until all views agree."""
    net = FleetNetwork(seed)
    net.default_link = Link(**plain)
    net.fleet(size)
    assert net.run(60, net.agree) < 60
    return net


def falsely_dead(net: FleetNetwork) -> set[str]:
    """Return the running relays that any relay declared dead."""
    living = {side.own_update.relay for side in net.instances.values()}
    return {event.relay for _, event in net.events if event.change == "dead"} & living


@pytest.mark.parametrize("size", [2, 3, 8, 16])
@pytest.mark.parametrize("seed", [1, 2])
def test_all_views_converge_and_stay_stable(size: int, seed: int) -> None:
    net = settled_net(size, seed)
    net.events.clear()
    net.run(30)
    assert net.agree() and net.events == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_third_of_the_fleet_crashes_while_one_relay_joins(seed: int) -> None:
    net = settled_net(9, seed)
    for at in (2, 5, 8):
        net.kill(f"r{at}:1")
    net.start("r9", seeds=["r0:1"])
    assert net.run(120, net.agree) < 120
    assert falsely_dead(net) == set()


@pytest.mark.parametrize("groups", [2, 3])
def test_views_converge_on_each_side_of_a_partition_and_after_it(groups: int) -> None:
    """The partition outlasts the retention of departed members, so only seeds from the file can heal it."""
    net = FleetNetwork(5)
    net.times = ProtocolTimes(retain_departed_us=40 * SECOND)
    for at in range(9):
        net.start(f"r{at}", seeds=["r0:1", "r1:1", "r2:1"])
    assert net.run(60, net.agree) < 60
    sides = [[f"r{at}:1" for at in range(9) if at % groups == side] for side in range(groups)]
    net.cut(*sides)
    net.run(120)
    assert all(net.agree(side) for side in sides)
    net.heal()
    assert net.run(120, net.agree) < 120


def test_lossy_link_and_one_way_cut_cause_no_false_death() -> None:
    net = settled_net(8, 3)
    for one, other in (("r1:1", "r2:1"), ("r2:1", "r1:1")):
        net.links[one, other] = Link(loss=0.3, delay_us=(1000, 300_000), duplication=0.5)
    net.links["r3:1", "r4:1"] = Link(cut=True)
    net.run(120)
    assert falsely_dead(net) == set()


@pytest.mark.parametrize("seed", range(3))
def test_twenty_percent_loss_causes_no_false_death(seed: int) -> None:
    net = settled_net(10, seed, loss=0.2)
    net.run(120)
    assert falsely_dead(net) == set()


def test_paused_relay_declares_no_relay_dead_and_stays_in_its_lifetime() -> None:
    net = settled_net(6, 4)
    net.suspended_until_us["r3:1"] = net.now_us + 40 * SECOND
    net.run(39)
    assert net.states("r3")["dead"] == 5
    assert net.run(60, net.agree) < 60
    assert not any(address == "r3:1" and event.change == "dead" for address, event in net.events)
    assert net.instances["r3:1"].own_update.incarnation > 0 and net.instances["r3:1"].own_update.life == 1


def test_leave_is_not_a_death_and_spreads_despite_loss() -> None:
    net = settled_net(8, 2, loss=0.3)
    side = net.instances["r5:1"]
    side.leave()
    net._send_pending("r5:1", side)
    net.kill("r5:1")
    assert net.run(60, lambda: net.states("r5")["left"] == 7) < 60


def test_new_lifetime_at_another_address_is_accepted_when_the_old_one_is_silent() -> None:
    net = settled_net(5, 6)
    net.kill("r3:1")
    net.start("r3", life=2, address="moved:1", seeds=["r0:1"])
    assert net.run(60, net.agree) < 60
    assert {side.view.members["r3"].update.address for side in net.instances.values()} == {"moved:1"}


def test_duplicate_id_is_notified_and_the_first_process_stays() -> None:
    net = settled_net(5, 7)
    twin = net.start("r3", life=4, address="twin:1", seeds=["r0:1"])
    net.run(60)
    assert twin.clash is not None
    held = {
        s.view.members["r3"].update.address for a, s in net.instances.items() if a not in ("twin:1", "r3:1")
    }
    assert held == {"r3:1"}


def test_fifty_relays_start_at_once_with_half_of_the_seeds_dead() -> None:
    net = FleetNetwork(8)
    for at in range(50):
        net.start(f"r{at}", seeds=["gone:1", "r0:1", "gone:2", "r1:1"])
    assert (
        net.run(60, lambda: all(len(side.view.live_members()) == 50 for side in net.instances.values())) < 60
    )


def test_updates_are_retransmitted_a_bounded_number_of_times() -> None:
    net = settled_net(8)
    net.run(30)
    assert all(not side._gossip_queue for side in net.instances.values())


# Properties of the view and of the wire format.

UPDATES = st.builds(
    MemberUpdate, relay=st.sampled_from(["a", "b"]), life=st.integers(1, 3), mark=st.just(1),
    incarnation=st.integers(0, 2), state=st.sampled_from(["alive", "suspect", "dead", "left"]),
    address=st.just("a:1"), zone=st.just(""), version=st.just(""), by=st.just("x"),
)  # fmt: skip
OWN = MemberUpdate("me", 1, 1, 0, "alive", "me:1", "", "", "me")


def view_after(said: list[MemberUpdate]) -> tuple[int, dict[str, MemberUpdate]]:
    """Return the digest and updates of a view after these updates."""
    view = View(OWN, 0)
    for one in said:
        view.apply(one, 0, "rumour")
    return view.digest, {relay: member.update for relay, member in view.members.items()}


@given(st.lists(UPDATES, max_size=8), st.randoms(use_true_random=False))
def test_view_is_independent_of_update_order_and_repetition(
    said: list[MemberUpdate], rng: random.Random
) -> None:
    """Leaves are excluded: a leave is final for its lifetime."""
    stays = [one for one in said if one.state != "left"]
    again = stays + rng.sample(stays, len(stays) // 2)
    rng.shuffle(again)
    assert view_after(stays) == view_after(again)


@given(st.lists(UPDATES, max_size=8))
def test_lower_lifetime_never_replaces_a_higher_one(said: list[MemberUpdate]) -> None:
    view, highest = View(OWN, 0), dict[str, int]()
    for one in said:
        view.apply(one, 0, "rumour")
        highest[one.relay] = max(highest.get(one.relay, 0), one.life)
        assert view.members[one.relay].update.life == highest[one.relay]


def frame_with(body: rec.Body) -> Frame:
    """Return a frame with this body."""
    return Frame(rec.VERSION, "f", "a", 1, 1, "a:1", 0, body)


@given(st.binary(max_size=2000))
def test_random_datagrams_are_rejected_with_a_reason(data: bytes) -> None:
    with pytest.raises(rec.ForeignDatagramError):
        rec.decode(data, "f")


@given(st.integers(0, 200), st.binary(max_size=8))
def test_truncated_datagrams_decode_or_are_rejected(cut: int, tail: bytes) -> None:
    data = rec.encode(frame_with(rec.Page((OWN,) * 3, True)))
    with contextlib.suppress(rec.ForeignDatagramError):
        assert rec.decode(data[:cut] + tail, "f").sender == "a"


def test_foreign_fleet_and_version_are_rejected_and_unknown_fields_ignored() -> None:
    frame = frame_with(rec.Ping(1))
    for other, fleet in ((msgspec.structs.replace(frame, version=2), "f"), (frame, "g")):
        with pytest.raises(rec.ForeignDatagramError):
            rec.decode(rec.encode(other), fleet)
    fields = msgspec.msgpack.decode(rec.encode(frame))
    later = msgspec.msgpack.encode(fields | {"new": [1, 2], "body": fields["body"] | {"more": "x"}})
    assert rec.decode(later, "f") == frame
    long = msgspec.structs.replace(OWN, zone="z" * 64, by="y" * 64)
    assert len(rec.encode(msgspec.structs.replace(frame, rumours=(long,) * 12))) <= rec.MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("size", [1, 64])
def test_every_page_fits_a_datagram_for_any_name_length(size: int) -> None:
    row = MemberUpdate(
        "r" * size, 2**62, 2**62, 2**62, "suspect", "a" * size, "z" * size, "v" * size, "b" * size
    )
    pages = rec.split_into_pages([row] * 100)
    assert sum(map(len, pages)) == 100
    for page in pages:
        frame = Frame(rec.VERSION, "f" * 64, "s" * 64, 2**62, 2**62, "a" * 64, 2**62, rec.Page(page, True))
        assert len(rec.encode(frame)) <= rec.MAX_DATAGRAM_BYTES


def test_more_confirmations_shorten_the_suspicion() -> None:
    """Without counting confirmations, every death would take the maximum time."""
    net = settled_net(10, 2)
    net.kill("r4:1")
    net.run(10, lambda: net.states("r4")["alive"] < 9)
    took_s = net.run(60, lambda: net.states("r4")["dead"] == 9)
    assert took_s < 20  # 4 to 24 probe intervals, depending on confirmations
    words = {
        event.by for _, event in net.events if event.relay == "r4" and event.change in ("suspect", "dead")
    }
    assert len(words) > 1


def test_longest_suspicion_matches_the_documented_bound() -> None:
    """The bound that the operators' documentation states, in probe intervals, without confirmations."""
    net = settled_net(3)
    swim = net.instances["r0:1"]
    swim._start_suspicion(net.now_us, swim.view.members["r1"].update)
    found = swim._suspicions["r1"]
    assert found.end_us - net.now_us == int(4.0 * max(1.0, math.log10(3)) * 6 * SECOND)


# Seeded faults: small changes of the real code, each detected by one of the tests above.


def refutation_ignored(monkey: pytest.MonkeyPatch) -> None:
    """A relay does not refute a suspicion of itself."""
    monkey.setattr(Swim, "_refute", lambda self, now_us, said: None)


def refutation_reuses_incarnation(monkey: pytest.MonkeyPatch) -> None:
    """A relay refutes a suspicion without raising its incarnation."""
    real = Swim._reassert_alive
    monkey.setattr(
        Swim, "_reassert_alive", lambda self, now_us, life=None, incarnation=0: real(self, now_us, life, 0)
    )


def old_lifetime_accepted(monkey: pytest.MonkeyPatch) -> None:
    """The last received update wins, whatever its lifetime or incarnation."""
    monkey.setattr(View, "supersedes", lambda self, said: self.members.get(said.relay) is None
                   or self.members[said.relay].update != said)  # fmt: skip


def unbounded_retransmission(monkey: pytest.MonkeyPatch) -> None:
    """Updates are retransmitted without a bound."""
    monkey.setattr(
        Swim, "_select_updates", lambda self: [said for said, _ in self._gossip_queue.values()][:8]
    )


def absent_members_not_contacted(monkey: pytest.MonkeyPatch) -> None:
    """Departed members and absent seeds are not pinged once this relay knows another member."""
    real = Swim._contact_absent
    monkey.setattr(
        Swim, "_contact_absent",
        lambda self, now_us: real(self, now_us) if len(self.view.members) == 1 else setattr(
            self, "_reconnect_at_us", now_us + self.times.reconnect_interval_us),
    )  # fmt: skip


@pytest.mark.parametrize(
    ("inject_fault", "check"),
    [
        (refutation_ignored, lambda: test_twenty_percent_loss_causes_no_false_death(1)),
        (refutation_reuses_incarnation, test_paused_relay_declares_no_relay_dead_and_stays_in_its_lifetime),
        (old_lifetime_accepted, test_lower_lifetime_never_replaces_a_higher_one),
        (unbounded_retransmission, test_updates_are_retransmitted_a_bounded_number_of_times),
        (
            absent_members_not_contacted,
            lambda: test_views_converge_on_each_side_of_a_partition_and_after_it(2),
        ),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_seeded_fault_is_detected(inject_fault: Any, check: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    inject_fault(monkeypatch)
    with pytest.raises(AssertionError):
        check()
