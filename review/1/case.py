"""A keyed message in doubt is refused as harmless to repeat; its repeat is sent once the key is forgotten."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import BROKEN, HELD, Client, CouldNotRun, HttpRequest, HttpServer, Platform, Record, new_relay, run_case  # noqa: E402

# The site's figures (ljubljana-resale).
WINDOW_S, ORDER_DEADLINE_MS, STATUS_DEADLINE_MS = 12.0, 20_000, 6_000
SLACK_S = 0.05  # each time limit is 50 ms longer on sockets
SHUT_S = 14.0  # the page: 7.1 to 20 s
TELLS_SHARE = 0.9  # of the refusals while shut tell when it opens (the page: 52 to 99% at large partners)
RATE_PER_S = 20.0  # of this relay, over five partners: the struck one gets a fifth (the page: up to 29%)
TROUBLE_AT_S, TRAFFIC_S, END_S = 4.0, 24.0, 30.0
STRUCK = 1
RNG = random.Random(65)


def settings() -> dict[str, Any]:
    def message_class(name: str, effect: str, aim: int, deadline: int, worth: float, late: float, window: int) -> dict[str, Any]:
        return {"name": name, "effect": effect, "key_scope": "all", "dedup_window_us": window, "aim_us": aim,
                "deadline_us": deadline, "worth": worth, "late_worth": late, "stream": False}

    return {
        "allowed": {"cancel": True, "connect_timeout_us": 1_000_000, "keepalive_us": 10_000_000,
                    "max_retry_after_us": 2_000_000, "may_duplicate": False, "most_tries": 8, "open_cap": 120,
                    "probes": False, "retry_after": True, "peer_messages": False, "streams_per_conn": 1},
        "discovery": "push", "load_info": {"how": "off"},
        "domain": {"batch_by_kind": [1, 1], "calls_out": 12, "decay": "halves", "kind_apart": [False, False],
                   "toll": [0.0, 0.0]},
        "group_size": 2, "my_number": 0, "machine_types": ["big-box-offices", "small-organisers"],
        "over_share_worth": 1.0, "accounts": [], "weights": "rough", "zones": ["a", "b"], "round_us": 5000,
        "request_classes": [
            message_class("order-handover", "keyed", 4_000_000, ORDER_DEADLINE_MS * 1000, 1.0, 0.4, int(WINDOW_S * 1e6)),
            message_class("seat-status", "safe", 800_000, STATUS_DEADLINE_MS * 1000, 2.0, 0.1, 0),
        ],
        "rules": {"ask_within_us": 10_000_000, "cold_from": 0.2, "drain_grace_us": 250_000, "fall_multiple": 2.0,
                  "fall_us": 3_000_000, "grace_to_answer_us": 20_000, "warm_within_us": 13_000_000},
    }


class Partner(HttpServer):
    """One endpoint. It drops a repeat of a key for 12 s; while shut it refuses all and tells when it opens."""

    def __init__(self, record: Record, name: str) -> None:
        super().__init__()
        self.record, self.name = record, name
        self.opens_s = 0.0  # shut until then
        self.first_seen_s: dict[str, float] = {}  # by key: arrival of the call that took effect last
        self.effects: dict[str, list[tuple[float, str]]] = {}  # by key: when it took effect, and for which id
        self.in_work: set[asyncio.Event] = set()

    def shut(self, length_s: float) -> None:
        """Shut: what is in work has run and is answered with an error, what comes is refused."""
        self.opens_s = self.record.now() + length_s
        self.record.add(self.name, f"shuts for {length_s} s, {len(self.in_work)} calls in work")
        for stopped in self.in_work:
            stopped.set()

    async def serve(self, request: HttpRequest) -> None:
        arrived_s = self.record.now()
        ((ref, key, _),) = request.messages()
        if (left_s := self.opens_s - arrived_s) > 0:
            if RNG.random() < TELLS_SHARE:
                self.record.add(self.name, f"call {ref} key {key or '-'}: 429, opens in {left_s:.3f} s")
                request.answer(429, X_Retry_In_Ms=str(int(left_s * 1000) + 1))
            else:
                self.record.add(self.name, f"call {ref} key {key or '-'}: 503, shut")
                request.answer(503)
            return
        stopped = asyncio.Event()
        self.in_work.add(stopped)
        try:
            async with asyncio.timeout(RNG.uniform(0.12, 0.2)):
                await stopped.wait()
        except TimeoutError:
            pass
        self.in_work.discard(stopped)
        if key:
            # A key counts from the first call with it: the arrival, which is later than the relay's send.
            seen_s = self.first_seen_s.get(key)
            if seen_s is not None and arrived_s <= seen_s + WINDOW_S + SLACK_S:
                self.record.add(self.name, f"call {ref} key {key}: a repeat after {arrived_s - seen_s:.3f} s, dropped")
            else:
                self.first_seen_s[key] = arrived_s
                self.effects.setdefault(key, []).append((arrived_s, ref))
                self.record.add(self.name, f"call {ref} key {key}: RUN (time {len(self.effects[key])} for this key)")
        status = 500 if stopped.is_set() else 200
        self.record.add(self.name, f"call {ref}: {status}")
        request.answer(status)


class Shop:
    """The clients of this relay: traffic, and one more try for what is refused, after the wait that is told."""

    def __init__(self, record: Record, platform: Platform, address: tuple[str, int]) -> None:
        self.record, self.address = record, address
        self.idle: list[Client] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.sent: dict[str, dict[str, Any]] = {}  # by id: what was handed in
        platform.on_notice = self.notice

    def start(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def hand_in(self, cls: str, dest: int, key: str, first_s: float, again: bool) -> None:
        deadline_ms = ORDER_DEADLINE_MS if cls == "order-handover" else STATUS_DEADLINE_MS
        left_ms = deadline_ms - int((self.record.now() - first_s) * 1000)
        ref = f"{RNG.getrandbits(64):016x}"
        self.sent[ref] = {"cls": cls, "dest": dest, "key": key, "first_s": first_s, "again": again}
        client = self.idle.pop() if self.idle else Client(self.record, self.address)
        answer = await client.enqueue(ref, cls, dest, left_ms, key, extra=",r=1" if again else "")
        self.idle.append(client)
        if answer.startswith("-BUSY"):
            self.come_again(ref, int((answer.split() + ["0"])[1]))

    def notice(self, ref: str, result: str, wait_ms: int) -> None:
        if result == "bounced":
            self.come_again(ref, wait_ms)

    def come_again(self, ref: str, wait_ms: int) -> None:
        """Once at most, behind the wait; a keyed message only inside its window, counted from the first hand-in."""
        was = self.sent[ref]
        at_s = self.record.now() + max(wait_ms / 1000, 1.0)
        deadline_s = was["first_s"] + (ORDER_DEADLINE_MS if was["cls"] == "order-handover" else STATUS_DEADLINE_MS) / 1000
        if was["again"] or at_s >= deadline_s or (was["key"] and at_s >= was["first_s"] + WINDOW_S - 1.0):
            return
        was["again"] = True

        async def later() -> None:
            await asyncio.sleep(at_s - self.record.now())
            await self.hand_in(was["cls"], was["dest"], was["key"], was["first_s"], True)

        self.start(later())


async def case(record: Record, folder: Path, trouble: bool) -> int:
    platform = Platform(record)
    partners = {number: Partner(record, f"partner{number}") for number in range(1, 6)}
    for number, partner in partners.items():
        await partner.start()
        platform.list_host(f"s-{number:08x}", partner.dial, number, "ab"[number % 2], "big-box-offices")
        platform.hosts[f"s-{number:08x}"]["share"] = 30.0  # calls a second, as this site's list tells
    await platform.start()
    relay = new_relay(record, folder, settings(), platform)
    await relay.ready(relay.spawn())
    shop = Shop(record, platform, relay.address)
    start_s, at_s = record.now(), 0.0
    keys = 0
    clump_due = True
    while at_s < TRAFFIC_S:
        at_s += RNG.uniform(0.5, 1.5) / RATE_PER_S
        await asyncio.sleep(max(0.0, start_s + at_s - record.now()))
        orders = [RNG.randint(1, 5)]
        if clump_due and at_s >= TROUBLE_AT_S:  # messages come in clumps for one partner, too
            clump_due, orders = False, [STRUCK] * 4
        for dest in orders:
            keys += 1
            if len(orders) > 1 or RNG.random() < 0.75:
                shop.start(shop.hand_in("order-handover", dest, f"{keys:016x}", record.now(), False))
            else:
                shop.start(shop.hand_in("seat-status", dest, "", record.now(), False))
        if len(orders) > 1:
            await asyncio.sleep(0.08)  # the clump's calls are in work
            if trouble:
                partners[STRUCK].shut(SHUT_S)
    await asyncio.sleep(max(0.0, start_s + END_S - record.now()))
    if not any(partner.effects for partner in partners.values()):
        raise CouldNotRun("nothing was delivered\n" + relay.logs())
    twice = {key: runs for partner in partners.values() for key, runs in partner.effects.items() if len(runs) > 1}
    for key, runs in twice.items():
        refs = [ref for ref, was in shop.sent.items() if was["key"] == key]
        notices = [f"{ref}: {platform.notices.get(ref, [])}" for ref in refs]
        record.add("check", f"key {key} took effect {len(runs)} times, at {[f'{at:.3f} {ref}' for at, ref in runs]}; {notices}")
    record.add("check", f"{keys} messages handed in, {len(twice)} keys took effect more than once")
    return BROKEN if twice else HELD


run_case(case, Path(__file__).resolve().parent)
