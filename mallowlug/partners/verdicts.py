"""What a host's response proves: verdicts by status, results of a batch, Retry-After waits and load reports.

No I/O. Sources: the table "Relays to hosts" of the protocol.
"""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Sequence

from mallowlug.core.model import Part, PartOutcome
from mallowlug.net.responses import CorruptResponseError, ResponseHead
from mossfront.interface import Verdict

LOG = logging.getLogger(__name__)
MAX_RETRY_AFTER_MS = 3_600_000  # a longer wait can't be intended and would close a route for good
RETRY_AFTER_VALUE = re.compile(rb"[0-9]{1,12}(?:\.[0-9]*)?")
BATCH_VERDICTS = {
    "delivered": Verdict.OK,
    "failed": Verdict.ERROR,
    "refused": Verdict.FULL,
    "over": Verdict.NOT_SENT,
    "spent": Verdict.NOT_SENT,
}
STATUS_OVER, STATUS_DELIVERED = 410, 200  # both are final; 410 means that no attempt is needed any more
LOAD_REPORT_FIELDS = ("x0", "x1")


def parse_retry_after_us(response: ResponseHead) -> int:
    """Return the longest retry delay in a response's headers, in microseconds; 0 for none."""
    wait_us = 0
    for name, value in response.headers:
        if name == b"x-retry-in-ms":
            if RETRY_AFTER_VALUE.fullmatch(value):
                wait_us = max(wait_us, int(min(float(value), MAX_RETRY_AFTER_MS) * 1000))
            else:
                LOG.warning("hosts: invalid X-Retry-In-Ms value %r", value[:40])
    return wait_us


def parse_load_report(response: ResponseHead) -> dict[str, float]:
    """Return the load report of a response; values that are not finite non-negative numbers are omitted."""
    report: dict[str, float] = {}
    for name, value in response.headers:
        if name == b"x-pressure":
            for pair in value.decode("latin-1").split(","):
                field_name, _, text = pair.strip().partition("=")
                try:
                    figure = float(text)
                except ValueError:
                    continue
                if field_name in LOAD_REPORT_FIELDS and math.isfinite(figure) and figure >= 0:
                    report[field_name] = figure
    return report


def verdict_of(response: ResponseHead) -> Verdict:
    """Return the verdict that a status proves; a status outside the protocol proves nothing (``ERROR``)."""
    if response.status == 503 and any(n == b"x-no-slot" and v == b"1" for n, v in response.headers):
        return Verdict.NOT_SENT
    table = {STATUS_DELIVERED: Verdict.OK, 429: Verdict.FULL, 503: Verdict.FULL}
    unsent = dict.fromkeys((400, 404, 405, STATUS_OVER, 413, 431, 504), Verdict.NOT_SENT)
    return (table | unsent).get(response.status, Verdict.ERROR)


def part_outcome(
    response: ResponseHead, batch_result: str | None, wait_us: int, report: dict[str, float]
) -> PartOutcome:
    """Return a message's outcome by a complete response: by its result in a batch, else by the status."""
    if batch_result is not None:
        return PartOutcome(
            BATCH_VERDICTS[batch_result], batch_result in ("delivered", "over"), wait_us, report
        )
    return PartOutcome(
        verdict_of(response), response.status in (STATUS_DELIVERED, STATUS_OVER), wait_us, report
    )


def parse_batch_results(body: bytes, parts: Sequence[Part]) -> dict[str, str]:
    """Parse the result of each message of a batch by id.

    Raises ``CorruptResponseError`` unless every line is valid and every message has exactly one: a truncated
    or garbled body may still contain intact lines, and each "refused" among them would be believed.
    """
    lines = [line.split() for line in body.decode("latin-1").splitlines() if line.strip()]
    results = {words[0]: words[1] for words in lines if len(words) == 2 and words[1] in BATCH_VERDICTS}
    if len(results) != len(lines) or results.keys() != {part.id for part in parts}:
        raise CorruptResponseError("the response does not hold one result for each message of the batch")
    return results
