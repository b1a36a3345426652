"""The roles of one process in an upgrade: first waiting, then owner, then spooling for its successor.

This module opens no socket and does not compose the relay; ``ProcessControl`` does both. Operators' actions
at one process that also concern the other (hosts disabled by an operator, SIGHUP) are passed on through small
files that both processes poll.
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
from mallowlug.core.reserved_space import LARGE_FOLDER
from mallowlug.system import APPEND, Disk
from mallowlug.upgrade import handover_file
from mallowlug.upgrade.locks import OwnershipLocks
from mallowlug.upgrade.spool import SpoolReader, SpoolWriter

LOG = logging.getLogger(__name__)
POLL_S, IDLE_POLL_S = 0.02, 0.1  # poll intervals while a second process may exist, and otherwise
CALL_DRAIN_S = 1.2  # s for open calls to end before the handover; the successor must be ready within 6 s
OVERLAP_S = 15.0  # s after a takeover for which the other process is assumed to exist
HUP_FILE = "hup"  # holds one byte for each SIGHUP that either process received


class ProcessControl(Protocol):
    """What the coordinator needs of the process around it."""

    @property
    def core(self) -> RelayCore | None:
        """The relay core; None before the first takeover, the retired one after a handover."""

    def apply_config_in_force(self, handover: HandoverState | None) -> None:
        """Apply the configuration in force at the takeover."""

    def start_core(self, handover: HandoverState | None) -> RelayCore:
        """Replay the journal and start a core from it."""

    def handover_state(self) -> HandoverState:
        """The state that a successor needs and that is not in the journal."""

    def retire(self) -> None:
        """Close the journal and abandon the open calls."""

    def set_intake(self, intake: Intake) -> None:
        """Send what clients submit to this intake from now on."""

    def refresh_disabled_hosts(self) -> None:
        """Read again which hosts are disabled, as an operator may have changed them at the other process."""

    def reload_config(self) -> bool:
        """Read the configuration file again, after a SIGHUP at the other process."""

    @property
    def terminating(self) -> bool:
        """Whether SIGTERM was received."""


class OrderedIntake:
    """The owner's intake while spool files may exist: keeps the order of spooled and new messages."""

    def __init__(self, core: RelayCore, spool_reader: SpoolReader) -> None:
        self._core, self._spool_reader = core, spool_reader
        self.clock = core.clock

    @property
    def refusal(self) -> Refused:
        """The refusal for a front that cannot accept a request, with a wait before a retry."""
        return self._core.refusal

    def submit(self, submission: Submission, body: bytes) -> Answer:
        """Submit to the core; before an ordered message, adopt what a former owner accepted earlier."""
        if submission.order:
            self._spool_reader.adopt_spooled(self._core)
        return self._core.submit(submission, body)


class UpgradeCoordinator:
    """Takes one process through its roles, back to owner if its successor dies."""

    def __init__(
        self,
        folder: Path,
        disk: Disk,
        process: ProcessControl,
        durable: bool = False,
        *,
        max_handover_bytes: int = LARGE_FOLDER.handover_bytes,
    ) -> None:
        """``max_handover_bytes`` limits the handover file."""
        self._max_handover_bytes = max_handover_bytes
        self._folder, self._disk, self._process, self._durable = folder, disk, process, durable
        self.locks = OwnershipLocks(folder, disk)
        self._spool_reader = SpoolReader(folder, disk, durable)
        self._sighups_seen = 0  # SIGHUPs of both processes that this one has applied
        self._sighups_seen = self._count_sighups()
        self._handed_over: HandoverState | None = None  # the state this process wrote at its last handover
        self._sighup_pending = False  # a SIGHUP of this process is not in the file yet
        self._overlap_until_s = 0.0  # loop time until which another process is assumed to exist
        self.spool_writer: SpoolWriter | None = None
        self.had_predecessor = False  # whether another process owned the messages when this one started

    async def wait_for_ownership(self) -> None:
        """Wait until this process owns the messages, and apply operators' actions meanwhile."""
        self.had_predecessor = not self.locks.try_become_owner()
        while not self.locks.owns:
            await asyncio.sleep(POLL_S / 2)
            self._exchange_news()  # the file may be valid now and broken at the takeover
            self.locks.try_become_owner()

    def take_over(self) -> None:
        """Become the owner: apply the handover state and the configuration, and start the core.

        The order makes sure that a configuration file that changes meanwhile is not missed: first the count
        of SIGHUPs, so that a later one is noticed; then the handover file, which no process changes any more;
        then the configuration file itself.
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
        """Alternate between owner and spooling for as long as the process runs."""
        while True:
            await self._run_as_owner()
            if not await self._hand_over():
                continue
            await self._run_as_spooler()
            LOG.warning("upgrade: the successor is gone; reclaiming ownership of the messages")
            if self.spool_writer is not None:
                self.spool_writer.close()
            self.take_over()
            self.spool_writer = None

    async def _run_as_owner(self) -> None:
        """Serve as the owner until a successor waits."""
        loop = asyncio.get_running_loop()
        while not self.locks.has_successor():
            overlap = loop.time() < self._overlap_until_s
            if self._process.core is not None and self._spool_reader.adopt_spooled(self._process.core):
                overlap, self._overlap_until_s = True, max(self._overlap_until_s, loop.time() + OVERLAP_S / 5)
            self._exchange_news()
            if not overlap and self._process.core is not None:
                self._process.set_intake(self._process.core)
            await asyncio.sleep(POLL_S if overlap else IDLE_POLL_S)

    async def _hand_over(self) -> bool:
        """Pause the core, let open calls end, write the handover file and release ownership.

        Return False, and go on as the owner, if the journal or the handover file cannot be written: the
        successor would start from an older state.
        """
        core, loop = self._process.core, asyncio.get_running_loop()
        assert core is not None
        LOG.info("upgrade: a successor waits; letting open calls end before the handover")
        start_s = loop.time()
        self._exchange_news()
        core.pause(True)
        while core.busy and loop.time() < start_s + CALL_DRAIN_S:
            self._exchange_news()
            await asyncio.sleep(POLL_S / 4)
        self._spool_reader.adopt_spooled(core)
        self._exchange_news()  # the last exchange: nothing else runs in this process from here to the end
        handover = self._process.handover_state()
        if not (
            core.flush_journal()
            and handover_file.write(self._folder, self._disk, handover, self._max_handover_bytes)
        ):
            LOG.warning("upgrade: the journal or the handover file cannot be written; staying the owner")
            core.pause(False)
            await asyncio.sleep(IDLE_POLL_S)
            return False
        # If the successor dies after it has deleted the file, this process still has to honour the waits in
        # it. It must not reuse the endpoint list: the successor may have learned of a drain since.
        handover.seq, handover.rows = -1, {}
        self._handed_over = handover
        self.spool_writer = SpoolWriter(self._folder, self._disk, core, self._durable)
        self._process.retire()
        self._process.set_intake(self.spool_writer)
        self.locks.release_ownership()
        LOG.info("upgrade: handed over ownership after %.2f s", loop.time() - start_s)
        return True

    async def _run_as_spooler(self) -> None:
        """Spool what clients still submit, until the process ends or its successor is gone."""
        while self._process.terminating or not self.locks.try_reclaim():
            self._exchange_news()
            await asyncio.sleep(POLL_S)

    def _exchange_news(self) -> None:
        """Apply operators' actions at the other process, and pass on a SIGHUP that this one received."""
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
        except OSError:  # perhaps no descriptor is free: assume no new SIGHUP
            return self._sighups_seen

    def announce_sighup(self) -> None:
        """Pass a SIGHUP of this process on to the other; retried while the file cannot be written."""
        self._sighup_pending = True
        self._record_sighup()

    def _record_sighup(self) -> None:
        """Append a pending SIGHUP to the file.

        A byte is appended, not a count rewritten: of two processes that write at once, neither may hide the
        other's SIGHUP.
        """
        if not self._sighup_pending:
            return
        try:
            fd = self._disk.open(self._folder / HUP_FILE, APPEND)
            try:
                self._sighup_pending = self._disk.write(fd, b".") == 0
            finally:
                self._disk.close(fd)
        except OSError as error:
            LOG.debug("upgrade: cannot pass the SIGHUP on to the other process yet: %s", error)
        self._sighups_seen += not self._sighup_pending

    def close(self) -> None:
        """Close the spool file and release the locks, as the process ends."""
        if self.spool_writer is not None:
            self.spool_writer.close()
        self.locks.release_all()
