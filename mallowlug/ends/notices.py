"""HTTP client that reports undelivered messages to the platform by notices."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from contextlib import suppress

from mallowlug.core.model import Address, Notice
from mallowlug.net.http import CONNECTION_ERRORS, Connection
from mallowlug.system import System

LOG = logging.getLogger(__name__)
NOTICES_PATH = "/v1/notices"
MAX_RESPONSE_BYTES = 1 << 20  # of a body, which is ignored
POST_TIMEOUT_S = (0.25, 1.0)  # initial and maximum; the platform responds to a post at once
WORKERS, MAX_BATCH = 3, 64  # concurrent posts, so that a hanging one delays no other; notices in a post
RETRY_DELAY_S = (0.02, 0.5)  # initial and maximum delay before a post is repeated


def encode_notice(notice: Notice) -> bytes:
    """Encode a notice as the platform expects it: a JSON object and a newline."""
    fields: dict[str, str | int] = {"ref": notice.message_id, "result": notice.result}
    if notice.wait_ms > 0:
        fields["wait_ms"] = notice.wait_ms
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class HttpNotifier:
    """Posts each notice until the platform confirms it, which it does also while discovery is down."""

    def __init__(self, address: Address, on_confirmed: Callable[[str], None], system: System) -> None:
        self._address, self._on_confirmed, self._system = address, on_confirmed, system
        self._queue: asyncio.Queue[Notice] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self.unconfirmed = 0

    def start(self) -> None:
        """Start the workers that post notices."""
        self._tasks = [asyncio.create_task(self._work()) for _ in range(WORKERS)]

    def change_address(self, address: Address) -> None:
        """Post to another address, also the notices that the old one has not confirmed."""
        self._address = address

    def send(self, notice: Notice) -> None:
        """Queue a notice for posting."""
        self.unconfirmed += 1
        self._queue.put_nowait(notice)

    def close(self) -> None:
        """Stop posting; unconfirmed notices stay in the journal."""
        for task in self._tasks:
            task.cancel()

    async def _work(self) -> None:
        while True:
            batch = [await self._queue.get()]
            with suppress(asyncio.QueueEmpty):
                while len(batch) < MAX_BATCH:
                    batch.append(self._queue.get_nowait())
            retry_delay_s, timeout_s = RETRY_DELAY_S[0], POST_TIMEOUT_S[0]
            while batch:
                status = await self._post(batch, timeout_s)
                if status == 204:
                    self._confirm(batch)
                    batch = []
                elif status == 400 and len(batch) > 1:  # one invalid notice must not delay the others
                    for notice in batch[1:]:
                        self._queue.put_nowait(notice)
                    batch = batch[:1]
                else:
                    if status == 400:
                        ref = batch[0].message_id
                        LOG.error("notices: notice for %s was rejected", ref, extra={"message_id": ref})
                    await asyncio.sleep(retry_delay_s)
                    retry_delay_s, timeout_s = (
                        min(2 * retry_delay_s, RETRY_DELAY_S[1]),
                        min(2 * timeout_s, POST_TIMEOUT_S[1]),
                    )

    def _confirm(self, batch: list[Notice]) -> None:
        for notice in batch:
            self.unconfirmed -= 1
            self._on_confirmed(notice.message_id)

    async def _post(self, batch: list[Notice], timeout_s: float) -> int:
        """Post a batch on a connection of its own; return the status (0: no response).

        On a shared connection a repeated response would confirm notices that the platform never received.
        """
        connection: Connection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await Connection.open(self._address, self._system)
                body = b"".join(encode_notice(notice) for notice in batch)
                await connection.send(connection.request("POST", NOTICES_PATH, [], body))
                status = (await connection.read_head()).status
                await connection.read_body(MAX_RESPONSE_BYTES)
                return status
        except (*CONNECTION_ERRORS, TimeoutError) as error:
            LOG.info("notices: posting %d notices failed: %r", len(batch), error)
        except Exception:  # a dead worker would not post any later notice
            LOG.exception("notices: unexpected error in a post")
        finally:
            if connection is not None:
                connection.close()
        return 0
