"""An upgrade as a supervisor does it: start a second process, wait until it is ready, end the first one.

The record shows both as one relay: nothing is noted while both run, so every rule stays in force. An end is
noted only if a process that owned the messages dies, and a new start once another process owns them.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal

from mallowlug.rig.run.relays import TERM_TIMEOUT_S, console_request
from mallowlug.rig.sim.process import SimProcess, SimRelay
from mallowlug.rig.world.scenario import EventTable

READY_S = 6.0  # s in which the new process has to become ready
POLL_S = 0.02
FALLBACK_S = 3.0  # s in which the remaining process has to own the messages again


class Upgrade:
    """One upgrade of one relay."""

    def __init__(self, relay: SimRelay, event: EventTable) -> None:
        self._relay, self._event = relay, event
        self._loop = asyncio.get_running_loop()
        self._ended = False  # an end of the owner was noted, and no new start since

    async def play(self) -> None:
        """Run the whole upgrade; holds the relay's lock, so that nothing else ends or starts the relay."""
        async with self._relay.lifecycle_lock:
            old = self._relay.process
            if not isinstance(old, SimProcess) or old.returncode is not None:
                return
            self._relay.write_config()
            new = await self._relay.spawn()
            self._relay.starts += 1
            handover_watch = self._loop.create_task(self._watch(old, new))
            if self._event.len_s:
                self._killing = self._loop.create_task(self._kill_later(new if self._event.back else old))
            ready = await self._becomes_ready(new)
            if ready and new.returncode is None:
                self._relay.process = new
                self._note_ready()
                exit_watch = self._loop.create_task(self._note_end(new))
                await self._end(old)
                exit_watch.cancel()
                return
            handover_watch.cancel()
            new.kill()
            if await self._falls_back_to(old):
                return
            # Both have ended: a supervisor starts the relay again.
            await asyncio.sleep(0.05)
            await self._relay.start_with_retries(0.05)

    async def _kill_later(self, process: SimProcess) -> None:
        await asyncio.sleep(self._event.len_s)
        self._kill_process(process)

    def _kill_process(self, process: SimProcess) -> None:
        """Kill a process (SIGKILL); if it owned the messages, note the relay's end."""
        if process.returncode is None:
            if self._relay.owning_lifetime() is process.lifetime and not self._ended:
                self._relay.record_event("kill")
                self._note_exit(-9)
            process.kill()

    def _note_exit(self, code: int) -> None:
        """Note once that the owner of the messages has ended, until another process owns them."""
        if not self._ended:
            self._relay.record_event("exit", str(code))
            self._ended = True

    def _note_ready(self) -> None:
        if self._ended:
            self._relay.record_event("ready")
            self._ended = False

    async def _watch(self, old: SimProcess, new: SimProcess) -> None:
        """Note the old process's end at once, also by an injected kill, if it owned the messages."""
        code = await old.wait()
        if self._relay.process is old and self._relay.owning_lifetime() is not new.lifetime:
            self._note_exit(code)

    async def _note_end(self, owner: SimProcess) -> None:
        """Note the end of a new process that was ready, while the old one still holds the spool."""
        self._note_exit(await owner.wait())

    async def _becomes_ready(self, new: SimProcess) -> bool:
        """Whether the new process reports ready at its console in time."""
        deadline_s = self._loop.time() + READY_S
        console = self._relay.machine.console
        assert console is not None
        while self._loop.time() < deadline_s and new.returncode is None:
            if await console_request(console, "GET", "/ready") == 200:
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def _falls_back_to(self, old: SimProcess) -> bool:
        """After the end of the new process: whether the old one owns the messages (again)."""
        deadline_s = self._loop.time() + FALLBACK_S
        while old.returncode is None and self._loop.time() < deadline_s:
            if self._relay.owning_lifetime() is old.lifetime:
                self._note_ready()
                return True
            self._note_exit(-9)
            await asyncio.sleep(POLL_S)
        if old.returncode is None:
            old.kill()
        self._note_exit(-9)
        return False

    async def _end(self, old: SimProcess) -> None:
        """Stop a process by SIGTERM, and by SIGKILL if it takes too long."""
        old.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TERM_TIMEOUT_S):
                await old.wait()
        self._kill_process(old)
