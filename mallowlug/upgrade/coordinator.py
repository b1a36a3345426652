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
from mallowlug.core.reserved_space import LARGE_FOLDER
from mallowlug.system import APPEND, Disk
from mallowlug.upgrade import handover_file
from mallowlug.upgrade.locks import Succession
from mallowlug.upgrade.spool import Adoption, Door

LOG = logging.getLogger(__name__)
STEP_S, REST_S = 0.02, 0.1  # s between looks while two processes may be there, and else
DRAIN_S = 1.2  # s for calls that are out to end before the messages pass on; ready is due after 6 s
BESIDE_S = 15.0  # s after a handover in which the other process is counted on
HUP = "hup"  # file: a byte for each SIGHUP that either process got


class Staff(Protocol):
    """What the process does for its places."""

    @property
    def driver(self) -> RelayCore | None:
        """The relay's core, while this process owns the messages; then as it was."""

    def catch_up(self, binds: HandoverState | None) -> None:
        """Go by what is in force at the take-over."""

    def take_up(self, binds: HandoverState | None) -> RelayCore:
        """Read the journal and go on from it."""

    def binds(self) -> HandoverState:
        """What binds a successor beside the journal."""

    def retire(self) -> None:
        """Close the journal and let go of everything that is out."""

    def serve_by(self, core: Intake) -> None:
        """What clients bring goes there from now on."""

    def hear(self) -> None:
        """The other process's staff may have put a host out or back."""

    def reread(self) -> bool:
        """The other process got a SIGHUP."""

    @property
    def told_to_end(self) -> bool:
        """Whether SIGTERM has come."""


class Beside:
    """The owner's intake: what a door took on before comes first, where order is kept."""

    def __init__(self, driver: RelayCore, adoption: Adoption) -> None:
        self._driver, self._adoption = driver, adoption
        self.clock = driver.clock

    @property
    def refusal(self) -> Refused:
        """A refusal at the door, with when to come back."""
        return self._driver.refusal

    def submit(self, handed: Submission, body: bytes) -> Answer:
        """As the core does."""
        if handed.order:
            self._adoption.look(self._driver)
        return self._driver.submit(handed, body)


class Shift:
    """One process's way through its places."""

    def __init__(
        self,
        folder: Path,
        disk: Disk,
        staff: Staff,
        durable: bool = False,
        *,
        most_binds: int = LARGE_FOLDER.handover_bytes,
    ) -> None:
        """``most_binds``: bytes of the file that is handed over."""
        self._most_binds = most_binds
        self._folder, self._disk, self._staff, self._durable = folder, disk, staff, durable
        self.line = Succession(folder, disk)
        self._adoption = Adoption(folder, disk, durable)
        self._heard = 0  # of the SIGHUPs that either process got: how many this one goes by
        self._heard = self._count_hups()
        self._kept: HandoverState | None = None  # what this process has handed over
        self._owed = False  # whether this process got one that the other cannot have heard of yet
        self._beside_s = 0.0  # loop's time until which another process is counted on
        self.door: Door | None = None
        self.followed = False  # whether this process took over from one that was there

    async def come_up(self) -> None:
        """Wait until this process owns the messages."""
        self.followed = not self.line.step_up()
        while not self.line.owns:
            await asyncio.sleep(STEP_S / 2)
            self._share()  # a file that is broken by the time of the take-over may be whole now
            self.line.step_up()

    def take_up(self) -> None:
        """Go on from what the one before has left.

        In this order, so that a file that changes in this very moment is heeded all the same: the count of
        the SIGHUPs first, so that a later one is news; then what was handed over, which no process changes
        any more; then the file itself.
        """
        self._adoption.tidy()
        self._heard = self._count_hups()
        binds = handover_file.take(self._folder, self._disk)
        if self.followed or self.door is not None:
            self._staff.hear()
            self._staff.catch_up(binds)
        driver = self._staff.take_up(binds or self._kept)
        self._kept = None
        handover_file.drop(self._folder, self._disk)
        self._adoption.look(driver)
        loop = asyncio.get_running_loop()
        self._staff.serve_by(Beside(driver, self._adoption))
        self._beside_s = loop.time() + BESIDE_S

    async def serve(self) -> None:
        """From owner to door and back, for as long as the process lasts."""
        while True:
            await self._own()
            if not await self._hand_over():
                continue
            await self._keep_the_door()
            LOG.warning("upgrade: the process that was to follow is gone; taking the messages back")
            if self.door is not None:
                self.door.close()
            self.take_up()
            self.door = None

    async def _own(self) -> None:
        """Serve until somebody waits to follow."""
        loop = asyncio.get_running_loop()
        while not self.line.wanted():
            beside = loop.time() < self._beside_s
            if self._staff.driver is not None and self._adoption.look(self._staff.driver):
                beside, self._beside_s = True, max(self._beside_s, loop.time() + BESIDE_S / 5)
            self._share()
            if not beside and self._staff.driver is not None:
                self._staff.serve_by(self._staff.driver)
            await asyncio.sleep(STEP_S if beside else REST_S)

    async def _hand_over(self) -> bool:
        """Start nothing more, let end what is out, write down what binds, let go.

        Not while the disk does not take what the journal owes it: the next process would read an older state.
        """
        driver, loop = self._staff.driver, asyncio.get_running_loop()
        assert driver is not None
        LOG.info("upgrade: a process waits to follow; letting calls end")
        start_s = loop.time()
        self._share()
        driver.pause(True)
        while driver.busy and loop.time() < start_s + DRAIN_S:
            self._share()
            await asyncio.sleep(STEP_S / 4)
        self._adoption.look(driver)
        self._share()  # the last moment: from here to the end nothing else runs in this process
        binds = self._staff.binds()
        if not (
            driver.flush_journal() and handover_file.keep(self._folder, self._disk, binds, self._most_binds)
        ):
            LOG.warning("upgrade: the disk is full or failing; serving on")
            driver.pause(False)
            await asyncio.sleep(REST_S)
            return False
        # Whoever follows may have read it, and be gone: then the waits in it still bind this process. Not the
        # list, as that one may have heard of a drain since.
        binds.seq, binds.rows = -1, {}
        self._kept = binds
        self.door = Door(self._folder, self._disk, driver, self._durable)
        self._staff.retire()
        self._staff.serve_by(self.door)
        self.line.hand_over()
        LOG.info("upgrade: handed over after %.2f s", loop.time() - start_s)
        return True

    async def _keep_the_door(self) -> None:
        """Pass on what clients still bring, until the end, or until nobody follows."""
        while self._staff.told_to_end or not self.line.take_back():
            self._share()
            await asyncio.sleep(STEP_S)

    def _share(self) -> None:
        """Hear what the other process's staff were told, and let it hear what this one's were."""
        self._staff.hear()
        if self._heard != (now := self._count_hups()):
            self._heard = now
            self._staff.reread()
        self._tell()

    def _count_hups(self) -> int:
        try:
            return len(self._disk.read(self._folder / HUP))
        except FileNotFoundError:
            return 0
        except OSError:  # no descriptor is left, perhaps: that is no news
            return self._heard

    def tell_hup(self) -> None:
        """This process got a SIGHUP: the other one hears of it, if need be once the disk has room."""
        self._owed = True
        self._tell()

    def _tell(self) -> None:
        """Count it for both. Appending, since two that write at once must not hide each other's."""
        if not self._owed:
            return
        try:
            fd = self._disk.open(self._folder / HUP, APPEND)
            try:
                self._owed = self._disk.write(fd, b".") == 0
            finally:
                self._disk.close(fd)
        except OSError as error:
            LOG.debug("upgrade: the other process does not hear of the SIGHUP yet: %s", error)
        self._heard += not self._owed

    def leave(self) -> None:
        """The process ends."""
        if self.door is not None:
            self.door.close()
        self.line.leave()
