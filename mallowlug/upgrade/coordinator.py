"""The places of one process in an upgrade, one after the other: waiting, owner, door.

Nothing here opens a socket or knows how a relay is put together: ``Staff`` does both. What two processes have
to hear of each other's staff (hosts out by hand, a SIGHUP) passes through small files that both look at.
"""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
from typing import Protocol

from mallowlug.core.handover import HandoverState
from mallowlug.core.model import Answer, Refused, Submission
from mallowlug.core.ports import Intake
from mallowlug.core.relay import RelayCore
from mallowlug.core.reserved_space import ROOMY
from mallowlug.system import APPEND, Disk
from mallowlug.upgrade import handover_file
from mallowlug.upgrade.locks import OwnershipLocks
from mallowlug.upgrade.spool import SpoolReader, SpoolWriter

LOG = logging.getLogger(__name__)
POLL_S, IDLE_POLL_S = 0.02, 0.1  # s between looks while two processes may be there, and else
CALL_DRAIN_S = 1.2  # s for calls that are out to end before the messages pass on; ready is due after 6 s
OVERLAP_S = 15.0  # s after a handover in which the other process is counted on
HUP_FILE = "hup"  # file: a byte for each SIGHUP that either process got


class ProcessControl(Protocol):
    """What the process does for its places."""

    @property
    def core(self) -> RelayCore | None:
        """The relay's core, while this process owns the messages; then as it was."""

    def apply_config_in_force(self, handover: HandoverState | None) -> None:
        """Go by what is in force at the take-over."""

    def start_core(self, handover: HandoverState | None) -> RelayCore:
        """Read the journal and go on from it."""

    def handover_state(self) -> HandoverState:
        """What binds a successor beside the journal."""

    def retire(self) -> None:
        """Close the journal and let go of everything that is out."""

    def set_intake(self, intake: Intake) -> None:
        """What clients bring goes there from now on."""

    def refresh_disabled_hosts(self) -> None:
        """The other process's staff may have put a host out or back."""

    def reload_config(self) -> bool:
        """The other process got a SIGHUP."""

    @property
    def terminating(self) -> bool:
        """Whether SIGTERM has come."""


class OrderedIntake:
    """The owner's intake: what a door took on before comes first, where order is kept."""

    def __init__(self, core: RelayCore, spool_reader: SpoolReader) -> None:
        self._core, self._spool_reader = core, spool_reader
        self.clock = core.clock

    @property
    def refusal(self) -> Refused:
        """A refusal at the door, with when to come back."""
        return self._core.refusal

    def submit(self, submission: Submission, body: bytes) -> Answer:
        """As the core does."""
        if submission.order:
            self._spool_reader.adopt_spooled(self._core)
        return self._core.submit(submission, body)


class UpgradeCoordinator:
    """One process's way through its places."""

    def __init__(
        self,
        folder: Path,
        disk: Disk,
        process: ProcessControl,
        durable: bool = False,
        *,
        max_handover_bytes: int = ROOMY.binds,
    ) -> None:
        """``most_binds``: bytes of the file that is handed over."""
        self._max_handover_bytes = max_handover_bytes
        self._folder, self._disk, self._process, self._durable = folder, disk, process, durable
        self.locks = OwnershipLocks(folder, disk)
        self._spool_reader = SpoolReader(folder, disk, durable)
        self._sighups_seen = 0  # of the SIGHUPs that either process got: how many this one goes by
        self._sighups_seen = self._count_sighups()
        self._handed_over: HandoverState | None = None  # what this process has handed over
        self._sighup_pending = False  # whether this process got one that the other cannot have heard of yet
        self._overlap_until_s = 0.0  # loop's time until which another process is counted on
        self.spool_writer: SpoolWriter | None = None
        self.had_predecessor = False  # whether this process took over from one that was there

    async def wait_for_ownership(self) -> None:
        """Wait until this process owns the messages."""
        self.had_predecessor = not self.locks.try_become_owner()
        while not self.locks.owns:
            await asyncio.sleep(POLL_S / 2)
            self._exchange_news()  # a file that is broken by the time of the take-over may be whole now
            self.locks.try_become_owner()

    def take_over(self) -> None:
        """Go on from what the one before has left.

        In this order, so that a file that changes in this very moment is heeded all the same: the count of
        the SIGHUPs first, so that a later one is news; then what was handed over, which no process changes
        any more; then the file itself.
        """
        self._spool_reader.remove_unfinished_files()
        self._sighups_seen = self._count_sighups()
        handover = handover_file.read(self._folder, self._disk)
        if self.had_predecessor or self.spool_writer is not None:
            self._process.refresh_disabled_hosts()
            self._process.apply_config_in_force(handover)
        core = self._process.start_core(handover or self._handed_over)
        self._handed_over = None
        handover_file.delete(self._folder, self._disk)
        self._spool_reader.adopt_spooled(core)
        loop = asyncio.get_running_loop()
        self._process.set_intake(OrderedIntake(core, self._spool_reader))
        self._overlap_until_s = loop.time() + OVERLAP_S

    async def run(self) -> None:
        """From owner to door and back, for as long as the process lasts."""
        while True:
            await self._run_as_owner()
            if not await self._hand_over():
                continue
            await self._run_as_spooler()
            LOG.warning("upgrade: the process that was to follow is gone; taking the messages back")
            if self.spool_writer is not None:
                self.spool_writer.close()
            self.take_over()
            self.spool_writer = None

    async def _run_as_owner(self) -> None:
        """Serve until somebody waits to follow."""
        loop = asyncio.get_running_loop()
        while not self.locks.has_successor():
            overlapping = loop.time() < self._overlap_until_s
            if self._process.core is not None and self._spool_reader.adopt_spooled(self._process.core):
                overlapping, self._overlap_until_s = (
                    True,
                    max(self._overlap_until_s, loop.time() + OVERLAP_S / 5),
                )
            self._exchange_news()
            if not overlapping and self._process.core is not None:
                self._process.set_intake(self._process.core)
            await asyncio.sleep(POLL_S if overlapping else IDLE_POLL_S)

    async def _hand_over(self) -> bool:
        """Start nothing more, let end what is out, write down what binds, let go.

        Not while the disk does not take what the journal owes it: the next process would read an older state.
        """
        core, loop = self._process.core, asyncio.get_running_loop()
        assert core is not None
        LOG.info("upgrade: a process waits to follow; letting calls end")
        start_s = loop.time()
        self._exchange_news()
        core.pause(True)
        while core.busy and loop.time() < start_s + CALL_DRAIN_S:
            self._exchange_news()
            await asyncio.sleep(POLL_S / 4)
        self._spool_reader.adopt_spooled(core)
        self._exchange_news()  # the last moment: from here to the end nothing else runs in this process
        handover = self._process.handover_state()
        if not (
            core.flush_journal()
            and handover_file.write(self._folder, self._disk, handover, self._max_handover_bytes)
        ):
            LOG.warning("upgrade: the disk is full or failing; serving on")
            core.pause(False)
            await asyncio.sleep(IDLE_POLL_S)
            return False
        # Whoever follows may have read it, and be gone: then the waits in it still bind this process. Not the
        # list, as that one may have heard of a drain since.
        handover.seq, handover.rows = -1, {}
        self._handed_over = handover
        self.spool_writer = SpoolWriter(self._folder, self._disk, core, self._durable)
        self._process.retire()
        self._process.set_intake(self.spool_writer)
        self.locks.release_ownership()
        LOG.info("upgrade: handed over after %.2f s", loop.time() - start_s)
        return True

    async def _run_as_spooler(self) -> None:
        """Pass on what clients still bring, until the end, or until nobody follows."""
        while self._process.terminating or not self.locks.try_reclaim():
            self._exchange_news()
            await asyncio.sleep(POLL_S)

    def _exchange_news(self) -> None:
        """Hear what the other process's staff were told, and let it hear what this one's were."""
        self._process.refresh_disabled_hosts()
        if self._sighups_seen != (count := self._count_sighups()):
            self._sighups_seen = count
            self._process.reload_config()
        self._record_sighup()

    def _count_sighups(self) -> int:
        try:
            return len(self._disk.read(self._folder / HUP_FILE))
        except FileNotFoundError:
            return 0
        except OSError:  # no descriptor is left, perhaps: that is no news
            return self._sighups_seen

    def announce_sighup(self) -> None:
        """This process got a SIGHUP: the other one hears of it, if need be once the disk has room."""
        self._sighup_pending = True
        self._record_sighup()

    def _record_sighup(self) -> None:
        """Count it for both. Appending, since two that write at once must not hide each other's."""
        if not self._sighup_pending:
            return
        try:
            fd = self._disk.open(self._folder / HUP_FILE, APPEND)
            try:
                self._sighup_pending = self._disk.write(fd, b".") == 0
            finally:
                self._disk.close(fd)
        except OSError as error:
            LOG.debug("upgrade: the other process does not hear of the SIGHUP yet: %s", error)
        self._sighups_seen += not self._sighup_pending

    def close(self) -> None:
        """The process ends."""
        if self.spool_writer is not None:
            self.spool_writer.close()
        self.locks.release_all()
