"""Every metric against what the peers expected, and the format against an independent parser."""

from __future__ import annotations

import asyncio

import pytest
from prometheus_client.parser import text_string_to_metric_families

from mallowlug.core.metrics import Gauges, Metrics
from tests.world import Reply, Request, World, delivered, encode_command, enqueue, http_request, silent, soon

Samples = dict[tuple[str, str, str], float]
LABELS = ("state", "reason", "phase")  # a sample has at most one of them


def parse(text: str) -> Samples:
    """Parse the exposition format into samples by name, group, and state, reason or phase."""
    found: Samples = {}
    for family in text_string_to_metric_families(text):
        assert family.documentation and family.type in ("counter", "gauge")
        for sample in family.samples:
            [label] = [sample.labels[name] for name in LABELS if name in sample.labels] or [""]
            key = sample.name, sample.labels.get("group", ""), label
            assert key not in found
            found[key] = sample.value
    return found


def test_format_is_valid_for_any_class_name() -> None:
    odd = 'a"b\\c\nd'
    metrics = Metrics(["plain", odd])
    metrics.count_end(odd, "errored")
    metrics.count_end("nobody knows it", "answered")
    samples = parse(metrics.render(Gauges(7, 3, 2, 1)))
    assert samples["relay_transactions_total", odd, "errored"] == 1
    assert samples["relay_transactions_total", "plain", "answered"] == 0
    assert samples["relay_sends_total", "", ""] == 7
    assert samples["relay_current", "", ""] == 3
    assert samples["relay_cluster_size", "", ""] == 2
    assert samples["relay_cluster_unhealthy", "", ""] == 1
    assert not any(group == "nobody knows it" for _, group, _ in samples)


def test_number_of_groups_is_bounded() -> None:
    metrics = Metrics(["first"])
    for number in range(10_000):
        metrics.add_groups([f"c{number}"])
    assert len(metrics.end_counts) <= 3 * 65


async def scrape(port: int) -> Samples:
    """Read the relay's current metrics."""
    status, text = await http_request(port, "GET", "/metrics")
    assert status == 200
    return parse(text)


def mismatches(samples: Samples, expected: Samples) -> list[str]:
    """Samples that differ from the expected ones."""
    return [
        f"{key}: {samples.get(key)}, expected {want}"
        for key, want in expected.items()
        if samples.get(key) != want
    ]


def test_comparison_finds_double_counts_and_misses() -> None:
    """The comparison used by the next test can fail."""
    key = ("relay_sends_total", "", "")
    metrics = Metrics(["safe"])
    for sent in (2, 0):
        assert mismatches(parse(metrics.render(Gauges(sent, 0, 0, 0))), {key: 1.0})
    assert mismatches(parse(metrics.render(Gauges(1, 0, 0, 0))), {key: 1.0}) == []


def failing_reply(status: int) -> Reply:
    """A reply with an error status."""

    def reply(request: Request) -> None:
        request.answer(status)

    return reply


async def test_mixed_results_are_counted_as_the_peers_saw_them(world: World) -> None:
    """Rejected at submission, refused, timed out, repeated, a batch partly refused, a client that left."""
    world.settings["allowed"]["open_cap"] = 12
    first = await world.add("h1")
    bank = await world.add("b1", silent, kind="banks", block=2)
    world.known_hosts = list(world.directory.hosts.values())
    world.list_unserved_destination(3)
    port = world.open_console()
    client = await world.run()
    first.script.extend(map(failing_reply, (503, 500)))
    for number in range(3):  # the first of them is retried twice
        assert await client.submit(f"s{number}") == b"+OK"
        await first.call(2 + number)
    first.script.append(failing_reply(500))
    assert await client.submit("u1", "unsafe") == b"+OK"  # in doubt: failed
    assert (await world.directory.notice("u1"))["result"] == "dead"
    assert await client.submit("w1", dest=3, d=60) in (b"+OK", b"-BUSY 2000")
    assert await client.command(b"ENQUEUE", b"0", b"k1", b"c=keyed,d=900,dest=1", b"") == b"-ERR k is missing"
    gone = await world.client()
    gone.writer.close()
    assert await client.submit("x1", "nobody") == b"-ERR unknown class"

    def partly(request: Request) -> None:
        bank.default = delivered
        ends = ["delivered"] + ["refused"] * (len(request.ids) - 1)
        request.answer(200, "".join(f"{ref} {end}\r\n" for ref, end in zip(request.ids, ends, strict=True)))

    bank.default = partly
    client.writer.write(b"".join(encode_command(*enqueue(f"b{n}", "keyed", dest=2)) for n in range(4)))
    for _ in range(4):
        assert (await soon(client.reader.readline())) == b"+OK\r\n"
    await bank.until(lambda: sum(len(request.ids) for request in bank.seen) == 7)

    def expected() -> Samples:
        calls = [ref for host in world.hosts.values() for request in host.seen for ref in request.ids]
        return {
            ("relay_sends_total", "", ""): float(len(calls)),
            ("relay_transactions_total", "safe", "answered"): 3.0,
            ("relay_transactions_total", "safe", "deferred"): 1.0,
            ("relay_transactions_total", "unsafe", "errored"): 1.0,
            ("relay_transactions_total", "keyed", "answered"): 4.0,
            ("relay_transactions_total", "keyed", "errored"): 1.0,
            ("relay_current", "", ""): 0.0,
            ("relay_cluster_size", "", ""): 3.0,
            ("relay_refusals_total", "", "k is missing"): 1.0,
            ("relay_refusals_total", "", "unknown class"): 1.0,
            ("relay_refusals_total", "", "may have run, and may not be repeated"): 1.0,
            ("relay_refusals_total", "", "no time for a further call"): 1.0,
            ("relay_undelivered_in_doubt_total", "", "failed"): 1.0,
            ("relay_client_closes_total", "", "ended by the client"): 1.0,
            ("relay_retries_total", "", "error"): 1.0,
            ("relay_retries_total", "", "full"): float(len(calls) - len(set(calls)) - 1),
        }

    async def agreed() -> None:
        while found := mismatches(await scrape(port), expected()):
            await asyncio.sleep(0.02)
        assert found == []

    await soon(agreed())


async def test_recovered_messages_are_counted_by_the_process_that_ends_them(world: World) -> None:
    world.list_unserved_destination(1)
    port = world.open_console()
    client = await world.run()
    for number in range(3):
        assert await client.submit(f"m{number}") == b"+OK"
    assert (await scrape(port))["relay_current", "", ""] == 3
    await world.kill()
    host = await world.add("h1")
    await world.run()
    await host.until(lambda: sum(len(request.ids) for request in host.seen) == 3)

    async def counted() -> None:
        while (await scrape(port))["relay_transactions_total", "safe", "answered"] != 3:
            await asyncio.sleep(0.02)

    await soon(counted())
    assert (await scrape(port))["relay_current", "", ""] == 0


@pytest.mark.parametrize("text", ["", "{"])
async def test_accepted_and_rejected_configurations_are_counted(world: World, text: str) -> None:
    port = world.open_console()
    await world.run()

    async def counted(invalid: int) -> None:
        want = {("relay_conf_loaded_total", "", ""): 1.0, ("relay_conf_invalid_total", "", ""): 1.0 * invalid}
        while mismatches(await scrape(port), want):
            await asyncio.sleep(0.02)

    await world.reload()
    await soon(counted(0))  # two signals at once would count as one
    await world.reload(text)
    await soon(counted(1))
