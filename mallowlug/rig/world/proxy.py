"""A TCP proxy that injects faults: delay, cut, silence, byte-by-byte transfer. It never reorders bytes.

Each direction of a connection forwards bytes in the order of arrival, whatever the fault: TCP does not
reorder bytes, so the proxy must not either. After a delay is shortened, later bytes still wait for
earlier ones.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from mallowlug.rig.world.httpd import AddressAllocator

READ_BYTES = 16 * 1024
DRIP_INTERVAL_S = 0.002  # s between bytes under a drip fault


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A fault applied to forwarded bytes; the defaults mean no fault.

    ``cut_after``: reset both sides once this many bytes have passed in one direction (-1: never). ``silent``:
    no bytes pass, open connections stay open, new ones are accepted and pass nothing either.
    ``drip``: forward byte by byte.
    """

    delay_s: float = 0.0
    drip: bool = False
    silent: bool = False
    cut_after: int = -1


NO_FAULT = LinkFault()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; a closed one is left as it is."""
    with contextlib.suppress(OSError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class FaultProxy:
    """Accepts connections and forwards each to the target, applying the current fault."""

    def __init__(
        self, target: Callable[[], tuple[str, int]], addresses: AddressAllocator | None = None
    ) -> None:
        self._target = target
        self._fault, self._changed = NO_FAULT, asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], None] = {}
        self.address = (addresses or AddressAllocator()).allocate()
        self.connections = 0

    async def listen(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    def set_fault(self, fault: LinkFault) -> None:
        """Apply a fault from now on, to open connections too."""
        self._fault = fault
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = None
        target_writer: asyncio.StreamWriter | None = None
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target())
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer))
                group.create_task(self._forward(target_reader, writer))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.pop(task, None)
            for side in (writer, target_writer):
                if side is not None:
                    reset_connection(side)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one direction through a queue of due times, so that a delay does not reduce throughput."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(64)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_side(reader, queue))
            group.create_task(self._write_side(queue, writer))

    async def _read_side(
        self, reader: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]]
    ) -> None:
        loop = asyncio.get_running_loop()
        while data := await reader.read(READ_BYTES):
            await queue.put((loop.time() + self._fault.delay_s, data))
        await queue.put((loop.time() + self._fault.delay_s, b""))

    async def _write_side(
        self, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
    ) -> None:
        loop, bytes_passed = asyncio.get_running_loop(), 0
        while True:
            due_s, data = await queue.get()
            if (wait_s := due_s - loop.time()) > 0:
                await asyncio.sleep(wait_s)
            while self._fault.silent:
                await self._changed.wait()
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            bytes_passed = await self._write_with_fault(data, writer, bytes_passed)

    async def _write_with_fault(self, data: bytes, writer: asyncio.StreamWriter, bytes_passed: int) -> int:
        """Write the part that the fault allows; raise ``ConnectionResetError`` at the cut."""
        fault = self._fault
        allowed = len(data) if fault.cut_after < 0 else max(0, fault.cut_after - bytes_passed)
        data, cut = data[:allowed], len(data) > allowed
        for piece in [data[at : at + 1] for at in range(len(data))] if fault.drip else [data]:
            writer.write(piece)
            await writer.drain()
            if fault.drip:
                await asyncio.sleep(DRIP_INTERVAL_S)
        if cut:
            raise ConnectionResetError("cut")
        return bytes_passed + len(data)
