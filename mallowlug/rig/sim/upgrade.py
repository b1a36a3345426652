"""An upgrade as a supervisor makes it: a second process beside the first, its yes, the first one's end.

To the record both are one relay: nothing is noted while both live, so every rule goes on through it. Only
where a process that owned the messages dies is there an end, and a new beginning once another one owns them.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal

from mallowlug.rig.run.relays import TERM_TIMEOUT_S, console_request
from mallowlug.rig.sim.process import SimProcess, SimRelay
from mallowlug.rig.world.scenario import EventTable

READY_S = 6.0  # s in which the new process has to say yes
LOOK_S = 0.02
BACK_S = 3.0  # s in which a process that is left alone has to own the messages again


class Upgrade:
    """One upgrade of one relay."""

    def __init__(self, relay: SimRelay, event: EventTable) -> None:
        self._relay, self._event = relay, event
        self._loop = asyncio.get_running_loop()
        self._ended = False  # whether an end of the owner is noted that no beginning has followed yet

    async def play(self) -> None:
        """All of it; nobody else ends or starts the relay meanwhile."""
        async with self._relay.lifecycle_lock:
            old = self._relay.process
            if not isinstance(old, SimProcess) or old.returncode is not None:
                return
            self._relay.write_config()
            new = await self._relay.spawn()
            self._relay.starts += 1
            watching = self._loop.create_task(self._watch(old, new))
            if self._event.len_s:
                self._killing = self._loop.create_task(self._kill_later(new if self._event.back else old))
            yes = await self._yes(new)
            if yes and new.returncode is None:
                self._relay.process = new
                self._begun()
                following = self._loop.create_task(self._note_end(new))
                await self._end(old)
                following.cancel()
                return
            watching.cancel()
            new.kill()
            if await self._goes_back_to(old):
                return
            # Both are gone: a supervisor starts it anew.
            await asyncio.sleep(0.05)
            await self._relay.start_with_retries(0.05)

    async def _kill_later(self, process: SimProcess) -> None:
        await asyncio.sleep(self._event.len_s)
        self._strike(process)

    def _strike(self, process: SimProcess) -> None:
        """SIGKILL; where it owned the messages, the relay has ended for a moment."""
        if process.returncode is None:
            if self._relay.owner() is process.life and not self._ended:
                self._relay.record_event("kill")
                self._exit(-9)
            process.kill()

    def _exit(self, code: int) -> None:
        """Who owned the messages is gone; noted once until another one owns them."""
        if not self._ended:
            self._relay.record_event("exit", str(code))
            self._ended = True

    def _begun(self) -> None:
        if self._ended:
            self._relay.record_event("ready")
            self._ended = False

    async def _watch(self, old: SimProcess, new: SimProcess) -> None:
        """Note the old one's end at once, also by a strike of the kernel, if it owned the messages."""
        code = await old.wait()
        if self._relay.process is old and self._relay.owner() is not new.life:
            self._exit(code)

    async def _note_end(self, owner: SimProcess) -> None:
        """Note the end of one that has said yes, while the old one still keeps the door."""
        self._exit(await owner.wait())

    async def _yes(self, new: SimProcess) -> bool:
        """Whether the new process says at its console that it is ready, in time."""
        last_s = self._loop.time() + READY_S
        console = self._relay.machine.console
        assert console is not None
        while self._loop.time() < last_s and new.returncode is None:
            if await console_request(console, "GET", "/ready") == 200:
                return True
            await asyncio.sleep(LOOK_S)
        return False

    async def _goes_back_to(self, old: SimProcess) -> bool:
        """The new process is gone: whether the old one owns the messages (again)."""
        last_s = self._loop.time() + BACK_S
        while old.returncode is None and self._loop.time() < last_s:
            if self._relay.owner() is old.life:
                self._begun()
                return True
            self._exit(-9)
            await asyncio.sleep(LOOK_S)
        if old.returncode is None:
            old.kill()
        self._exit(-9)
        return False

    async def _end(self, old: SimProcess) -> None:
        """SIGTERM, and SIGKILL where it lasts too long."""
        old.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TERM_TIMEOUT_S):
                await old.wait()
        self._strike(old)
