"""The composition root: one relay put together from the core and its adapters, from start to exit code."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from mallowlug import config
from mallowlug.core.clock import clock_of
from mallowlug.core.descriptors import Shares, shares_of
from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.handover import HandoverState
from mallowlug.core.journal import Journal
from mallowlug.core.listings import Listings, listed_of
from mallowlug.core.metrics import Metrics
from mallowlug.core.model import EndpointList
from mallowlug.core.operator_interface import OperatorInterface
from mallowlug.core.ports import Adapters, Intake
from mallowlug.core.reasons import Reasons
from mallowlug.core.relay import RelayCore
from mallowlug.core.reserved_space import reserved_space
from mallowlug.directory.discovery import FIRST_LINE_TIMEOUT_S, DirectoryWatch
from mallowlug.ends.notices import HttpNotifier
from mallowlug.fronts.resp2 import Resp2Server
from mallowlug.partners.http_calls import HttpPartners
from mallowlug.system import System
from mossfront.interface import Settings

if TYPE_CHECKING:
    from mallowlug.console.server import Console
    from mallowlug.fleet.agent import Agent
    from mallowlug.upgrade.coordinator import Shift

LOG = logging.getLogger("mallowlug")
VERSION = "0.2.0"  # of the program, as the other relays of a fleet hear it
SERVE_S = 2.6  # s after SIGTERM in which clients are still served: nobody else has what they would bring
LAST_S = 3.2  # s after SIGTERM when the process is gone by itself; SIGKILL comes no sooner than 3.7 s
SHUT_S = 0.3  # s after SIGTERM when a process that has a successor stops listening: its queue is empty then
LEAST_ANSWER_S = 0.05  # s for an agent's answer, where a drain has no grace: the slack of the rules
LOOK_S = 0.02  # s between looks whether a shutdown is complete
OWED_S = 0.1  # s between attempts to write down what the disk did not take


def fronts_of(
    cfg: config.Config, extras: config.Extras, core: Intake, system: System, reasons: Reasons
) -> list[Resp2Server]:
    """The platform's front, then the operator's; all share one half of the descriptors."""
    shares = shares_in(cfg, extras)
    left = shares.clients - sum(plan.connections for plan in extras.fronts)
    if left < cfg.sockets // 4:
        raise config.ConfigError(f"front: at most {cfg.sockets // 4} connections beside the platform's")
    plans = [(cfg.listen, left), *((plan.listen, plan.connections) for plan in extras.fronts)]
    shared = cfg.console is not None  # by it staff learn when a process that starts beside this one is ready
    burst = max(1, shares.burst // len(plans))
    return [
        Resp2Server(core, address, most, system, shared, accept_backlog=burst, reasons=reasons)
        for address, most in plans
    ]


def shares_in(cfg: config.Config, extras: config.Extras) -> Shares:
    """Who may hold how many descriptors."""
    listeners = 1 + len(extras.fronts) + (extras.fleet is not None)
    shares = shares_of(cfg.sockets, listeners, cfg.console is not None)
    if shares.total > cfg.sockets:
        LOG.warning("limits.sockets: %d descriptors are too few to keep the roles apart", cfg.sockets)
    return shares


def plugs_of(cfg: config.Config, seq: int, system: System, calls: int, reasons: Reasons) -> Adapters:
    """The platform's adapters, bound to what the configuration tells."""
    return Adapters(
        partners=lambda settled, released: HttpPartners(
            cfg.settings.kinds,
            cfg.settings.keepalive_us,
            cfg.connect_timeout_us,
            min(cfg.sockets // 4, calls),
            settled=settled,
            released=released,
            system=system,
            max_open=calls,
            reasons=reasons,
        ),
        directory=lambda told, failed: DirectoryWatch(
            cfg.discovery,
            seq,
            told,
            failed,
            system,
            max_line_bytes=cfg.memory_bytes // 8,
            response_timeout_s=answer_s(cfg),
        ),
        notifier=lambda confirmed: HttpNotifier(cfg.discovery, confirmed, system),
    )


def answer_s(cfg: config.Config) -> float:
    """How long (s) a watch may wait for its answer.

    An agent beside the relay answers at once or, while discovery is down, not at all; what it gets then
    counts as told at once. So an ask that hangs must not outlast its return by a drain's grace.
    """
    least_s = max(LEAST_ANSWER_S, cfg.settings.drain_grace_us / 4e6)
    return min(FIRST_LINE_TIMEOUT_S, least_s) if cfg.settings.list_is_pushed else FIRST_LINE_TIMEOUT_S


def list_of(binds: HandoverState | None, known: EndpointList) -> EndpointList:
    """The newer one of the list that was handed over and the one that the configuration knows.

    A list too long to be handed over is asked for anew: the known one may lack a drain that was heard of.
    """
    if binds is not None and binds.seq < 0:
        return EndpointList(0, True, ())
    if binds is None or binds.seq < known.seq or not binds.rows:
        return known
    hosts = tuple(listed_of(tuple(row), dest) for dest, rows in binds.rows.items() for row in rows)
    return EndpointList(binds.seq, True, hosts)


async def serve(cfg: config.Config, system: System, extras: config.Extras = config.NOTHING) -> int:
    """Run until SIGTERM or until the step loop breaks; the exit code."""
    node = Node(cfg, system, extras)
    del cfg  # it holds the list as it was known, by far the largest thing here with many destinations
    return await node.run()


class Node:
    """One process of a relay, from its start to its exit code."""

    def __init__(self, cfg: config.Config, system: System, extras: config.Extras) -> None:
        self._known, self._cfg = cfg.known, replace(cfg, known=EndpointList(cfg.known.seq, True, ()))
        self._system, self._extras = system, extras
        self._loop = asyncio.get_running_loop()
        self._ended: asyncio.Future[int] = self._loop.create_future()
        self._terminated = asyncio.Event()
        room = reserved_space(cfg.disk_bytes)
        self._figures = Metrics(cls.name for cls in cfg.settings.classes)
        self._outs = DisabledHosts(cfg.state, system.disk, extras.durable, most_bytes=room.outs)
        self._desk = OperatorInterface(self._figures, self._outs)
        self._desk.names = {listed.entry.host for listed in cfg.known.hosts} if cfg.console else set()
        self._journal: Journal | None = None
        self._fronts: list[Resp2Server] = []
        self._core: Intake | None = None  # what the fronts talk to
        self._shift: Shift | None = None
        self._owing: asyncio.TimerHandle | None = None  # the next attempt to keep what a reload put aside
        self._fleet: Agent | None = None
        self._shares = shares_in(cfg, extras)
        self._size = 0  # of the group, as it was counted; 0: as the settings tell

    @property
    def driver(self) -> RelayCore | None:
        """The relay's core, once the journal is taken up."""
        return self._desk.driver

    @property
    def told_to_end(self) -> bool:
        """Whether SIGTERM has come."""
        return self._terminated.is_set()

    async def run(self) -> int:
        """Come up, serve, shut down; the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._terminated.set)
        # Until the process is gone, also while it shuts down: a signal without a handler would end it.
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        console = await self._open_console()
        self._figures.reasons.start()
        try:
            return await self._serve()
        finally:
            self._figures.reasons.stop()
            for front in self._fronts:
                front.close()
            if console is not None:
                console.close()
            if self._fleet is not None:
                self._fleet.close(leaving=True)
            if self.driver is not None:
                self.driver.close()
            if self._journal is not None:
                self._journal.close()
            if self._shift is not None:
                self._shift.leave()

    async def _open_console(self) -> Console | None:
        """Listen for on-call staff, before all that takes time; imported only where it is asked for."""
        cfg = self._cfg
        if cfg.console is None:
            return None
        from mallowlug.console.server import Console  # noqa: PLC0415
        from mallowlug.upgrade.coordinator import Shift  # noqa: PLC0415

        self._shift = Shift(
            cfg.state, self._system.disk, self, self._extras.durable,
            most_binds=reserved_space(cfg.disk_bytes).binds,
        )  # fmt: skip
        console = Console(self._desk, cfg.console, self._shares.callers - 1, self._system)
        await console.start()
        LOG.info("%s has its console at %s:%d", cfg.name, *cfg.console)
        return console

    async def _serve(self) -> int:
        shift = self._shift
        if shift is None:
            self.serve_by(self.take_up(None))
        else:
            if not await self._first(shift.come_up()):
                return 0
            shift.take_up()
        await self._listen()
        LOG.info("%s serves at %s:%d", self._cfg.name, *self._cfg.listen)
        self._desk.serving = True
        stop = self._loop.create_task(self._shut_down())
        waiting: set[asyncio.Future[Any]] = {stop, self._ended}
        places = None if shift is None else self._loop.create_task(shift.serve())
        if places is not None:
            waiting.add(places)
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        if self._ended.done():
            return self._ended.result()
        if places is not None:
            if places.done():
                places.result()  # it never ends by itself: this raises
            places.cancel()
        stop.result()
        return 0

    async def _first(self, coming: Any) -> bool:
        """Whether it ended before SIGTERM came."""
        up, term = self._loop.create_task(coming), self._loop.create_task(self._terminated.wait())
        await asyncio.wait({up, term}, return_when=asyncio.FIRST_COMPLETED)
        term.cancel()
        if up.done():
            up.result()
            return True
        up.cancel()
        return False

    async def _listen(self) -> None:
        assert self._core is not None
        self._fronts = fronts_of(self._cfg, self._extras, self._core, self._system, self._figures.reasons)
        for front in self._fronts:
            await front.start()
            if self._shift is not None and self._shift.followed and not front.steer_connections_here():
                LOG.warning("upgrade: new connections cannot be steered here; any process gets them")

    def take_up(self, binds: HandoverState | None) -> RelayCore:
        """Read the journal and go on from it."""
        cfg, system = self._cfg, self._system
        disk_bytes = cfg.disk_bytes - (cfg.console is not None) * reserved_space(cfg.disk_bytes).total
        self._journal = Journal(cfg.state, disk_bytes, system.disk, self._extras.durable)
        known, self._known = list_of(binds, self._known), EndpointList(0, True, ())

        def crashed(_error: BaseException) -> None:
            if not self._ended.done():
                self._ended.set_result(1)

        driver = RelayCore(
            settings=self._within(cfg.settings),
            seed=cfg.seed,
            journal=self._journal,
            plugs=plugs_of(cfg, known.seq, system, self._shares.calls, self._figures.reasons),
            clock=clock_of(system, cfg.state, self._loop.time),
            listings=Listings(self._extras.awake, self._extras.rest_s),
            figures=self._figures,
            outs=self._outs,
            crashed=crashed,
        )
        driver.start(known, binds)
        if self.driver is not None:
            driver.sent_before = self.driver.gauges.sends
        self._desk.driver, self._desk.names = driver, set()  # the list itself answers from now on
        if self._extras.fleet is not None:
            self._join(self._extras.fleet)
        return driver

    def _join(self, plan: config.FleetPlan) -> None:
        """Keep a view of the fleet, which says for how large a group parts are reckoned."""
        from mallowlug.fleet.agent import Agent, Place  # noqa: PLC0415

        cfg = self._cfg
        place = Place(
            plan.name, plan.listen, plan.address, plan.seeds, plan.zone, plan.period_s, plan.settle_s
        )
        self._fleet = self._desk.fleet = Agent(
            cfg.name, place, told=cfg.settings.group_size, folder=cfg.state, system=self._system,
            version=VERSION, resized=self._resized,
        )  # fmt: skip
        self._fleet.open()

    def _resized(self, size: int) -> None:
        """The group is of another size: through the module, as any setting is."""
        self._size = size
        if self.driver is not None:
            self.driver.change_settings(self._within(self._cfg.settings))

    def _within(self, settings: Settings) -> Settings:
        """Settings with the group as it was counted, where it is, and no more calls out than descriptors."""
        slots, size = min(settings.max_calls, self._shares.calls), self._size or settings.group_size
        return replace(settings, max_calls=slots, group_size=size)

    def retire(self) -> None:
        """Close the journal and let go of everything that is out."""
        assert self.driver is not None and self._journal is not None
        if self._fleet is not None:  # its address is the successor's, who is the same relay's next life
            self._fleet.close(leaving=False)
            self._fleet = self._desk.fleet = None
        self.driver.retire()
        self._journal.close()
        self._journal = None

    def serve_by(self, core: Intake) -> None:
        """What clients bring goes there from now on."""
        self._core = core
        for front in self._fronts:
            front.intake = core

    def hear(self) -> None:
        """The other process's staff may have put a host out or back."""
        self._outs.refresh()

    def reload(self) -> None:
        """SIGHUP: read the file again and go by its settings and to the discovery that it names.

        What cannot be used changes nothing. Limits and addresses of this process count from the next start.
        """
        if self.reread():
            self._figures.loaded += 1
        else:
            self._figures.invalid += 1
        if self._shift is not None:
            self._shift.tell_hup()

    def reread(self) -> bool:
        """Go by the file as it is now; False where it cannot be used."""
        try:
            cfg = config.load(self._system, reloading=True, shape=self._cfg.shape)
        except config.ConfigError as error:
            LOG.error("SIGHUP: the old configuration stays: %s", error)
            return False
        LOG.info("SIGHUP: discovery at %s:%d", *cfg.discovery)
        if cfg.listen != self._cfg.listen:
            LOG.warning("SIGHUP: a changed address of the relay waits for the next start")
        self._go_by(cfg)
        self._put_aside()
        if self.driver is not None:
            self.driver.change_settings(self._within(cfg.settings))
            self.driver.change_discovery(cfg.discovery)
        return True

    def _go_by(self, cfg: config.Config) -> None:
        """These settings and this address count; limits and the process's own addresses stay."""
        names = ("settings", "discovery", "shape", "told", "aside")
        self._cfg = replace(self._cfg, **{name: getattr(cfg, name) for name in names})

    def _put_aside(self) -> None:
        """Tell later lives that the variable counts no more, again until the disk takes it."""
        if self._owing is not None:  # one chain of attempts, however many reloads ask for it
            self._owing.cancel()
        self._owing = None
        if (variable := self._cfg.aside) and not config.put_aside(self._system, variable):
            self._owing = self._loop.call_later(OWED_S, self._put_aside)

    def binds(self) -> HandoverState:
        """What binds a successor beside the journal: what the core knows, and what is in force here."""
        assert self.driver is not None
        cfg, binds = self._cfg, self.driver.handover_state()
        binds.config, binds.aside = cfg.told.decode(), cfg.aside
        binds.discovery = "{}:{}".format(*cfg.discovery)
        return binds

    def catch_up(self, binds: HandoverState | None) -> None:
        """Go by what counts at the take-over, not by what was read when this process started.

        The file as it is now counts, as at any start. Where it cannot be used, or lacks what the one in force
        had, the process before this one knows what does; where that is gone, this one goes on as it was.
        """
        before = self._in_force(binds)
        held = before or self._cfg
        try:
            cfg = config.load_again(self._system, self._cfg, held)
        except config.ConfigError as error:
            LOG.error("take-over: the file cannot be used, what was in force stays: %s", error)
            cfg = held
        self._go_by(cfg)
        self._figures.know(cls.name for cls in cfg.settings.classes)
        self._put_aside()
        LOG.info("take-over: discovery at %s:%d", *cfg.discovery)

    def _in_force(self, binds: HandoverState | None) -> config.Config | None:
        """What the process before this one went by, as far as it has told."""
        if binds is None or not binds.config:
            return None
        try:
            return config.in_force(self._system, binds.config, binds.discovery, binds.aside)
        except config.ConfigError as error:
            LOG.error("take-over: the former configuration cannot be read: %s", error)
            return None

    async def _shut_down(self) -> None:
        """After SIGTERM: serve on while calls can still end, then part from clients between their requests.

        A connection that ends with a request unanswered loses a message. So connections are closed while the
        server still listens: a request that crosses the close comes again on a new one and gets its answer.
        A process that has a successor gets no new connections any more, and closes each behind an answer.
        """
        await self._terminated.wait()
        LOG.info("SIGTERM: shutting down")
        self._desk.serving = False
        start_s = self._loop.time()
        assert self.driver is not None
        self.driver.shut_down(start_s + LAST_S)

        def parted() -> bool:
            return self.driver is not None and self.driver.idle and not any(f.clients for f in self._fronts)

        if followed := self._shift is not None and self._shift.door is not None:
            for front in self._fronts:
                front.close_after_next_answer()
            await asyncio.sleep(SHUT_S)
            for front in self._fronts:
                front.stop_listening()
        await self._until(start_s + SERVE_S, parted, start_s + 0.5)
        for front in self._fronts:
            front.drain_clients()
        await self._until(start_s + LAST_S, parted, start_s + (0.0 if followed else SERVE_S + 0.3))
        LOG.info("SIGTERM: shut down")

    async def _until(self, last_s: float, done: Callable[[], bool], first_s: float) -> None:
        """Wait until it is done, between two times."""
        while self._loop.time() < last_s and not (self._loop.time() >= first_s and done()):
            await asyncio.sleep(LOOK_S)
