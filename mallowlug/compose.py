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
from mallowlug.directory.discovery import FIRST_S, Watch
from mallowlug.ends.notices import Notices
from mallowlug.fronts.resp2 import Server
from mallowlug.partners.http_calls import Hosts
from mallowlug.system import System
from mossfront.interface import Settings

if TYPE_CHECKING:
    from mallowlug.console.server import Console
    from mallowlug.fleet.agent import Agent
    from mallowlug.upgrade.coordinator import UpgradeCoordinator

LOG = logging.getLogger("mallowlug")
VERSION = "0.2.0"  # of the program, as the other relays of a fleet hear it
KEEP_SERVING_S = (
    2.6  # s after SIGTERM in which clients are still served: nobody else has what they would bring
)
SHUTDOWN_LIMIT_S = (
    3.2  # s after SIGTERM when the process is gone by itself; SIGKILL comes no sooner than 3.7 s
)
STOP_LISTENING_S = (
    0.3  # s after SIGTERM when a process that has a successor stops listening: its queue is empty then
)
MIN_ANSWER_S = 0.05  # s for an agent's answer, where a drain has no grace: the slack of the rules
POLL_S = 0.02  # s between looks whether a shutdown is complete
PERSIST_RETRY_S = 0.1  # s between attempts to write down what the disk did not take


def build_fronts(
    cfg: config.Config, extras: config.Extras, core: Intake, system: System, reasons: Reasons
) -> list[Server]:
    """The platform's front, then the operator's; all share one half of the descriptors."""
    shares = descriptor_shares(cfg, extras)
    platform_connections = shares.clients - sum(plan.connections for plan in extras.fronts)
    if platform_connections < cfg.sockets // 4:
        raise config.ConfigError(f"front: at most {cfg.sockets // 4} connections beside the platform's")
    listeners = [
        (cfg.listen, platform_connections),
        *((plan.listen, plan.connections) for plan in extras.fronts),
    ]
    shared = cfg.console is not None  # by it staff learn when a process that starts beside this one is ready
    burst = max(1, shares.burst // len(listeners))
    return [
        Server(core, address, most, system, shared, burst=burst, reasons=reasons)
        for address, most in listeners
    ]


def descriptor_shares(cfg: config.Config, extras: config.Extras) -> Shares:
    """Who may hold how many descriptors."""
    listeners = 1 + len(extras.fronts) + (extras.fleet is not None)
    shares = shares_of(cfg.sockets, listeners, cfg.console is not None)
    if shares.total > cfg.sockets:
        LOG.warning("limits.sockets: %d descriptors are too few to keep the roles apart", cfg.sockets)
    return shares


def build_adapters(
    cfg: config.Config, seq: int, system: System, max_calls: int, reasons: Reasons
) -> Adapters:
    """The platform's adapters, bound to what the configuration tells."""
    return Adapters(
        partners=lambda settled, released: Hosts(
            cfg.settings.kinds,
            cfg.settings.keepalive_us,
            cfg.connect_timeout_us,
            min(cfg.sockets // 4, max_calls),
            settled=settled,
            released=released,
            system=system,
            most_open=max_calls,
            reasons=reasons,
        ),
        directory=lambda told, failed: Watch(
            cfg.discovery,
            seq,
            told,
            failed,
            system,
            most_line=cfg.memory_bytes // 8,
            answer_s=watch_answer_timeout_s(cfg),
        ),
        notifier=lambda confirmed: Notices(cfg.discovery, confirmed, system),
    )


def watch_answer_timeout_s(cfg: config.Config) -> float:
    """How long (s) a watch may wait for its answer.

    An agent beside the relay answers at once or, while discovery is down, not at all; what it gets then
    counts as told at once. So an ask that hangs must not outlast its return by a drain's grace.
    """
    min_s = max(MIN_ANSWER_S, cfg.settings.drain_grace_us / 4e6)
    return min(FIRST_S, min_s) if cfg.settings.list_is_pushed else FIRST_S


def newest_list(handover: HandoverState | None, known: EndpointList) -> EndpointList:
    """The newer one of the list that was handed over and the one that the configuration knows.

    A list too long to be handed over is asked for anew: the known one may lack a drain that was heard of.
    """
    if handover is not None and handover.seq < 0:
        return EndpointList(0, True, ())
    if handover is None or handover.seq < known.seq or not handover.rows:
        return known
    hosts = tuple(listed_of(tuple(row), dest) for dest, rows in handover.rows.items() for row in rows)
    return EndpointList(handover.seq, True, hosts)


async def serve(cfg: config.Config, system: System, extras: config.Extras = config.DEFAULT_EXTRAS) -> int:
    """Run until SIGTERM or until the step loop breaks; the exit code."""
    process = RelayProcess(cfg, system, extras)
    del cfg  # it holds the list as it was known, by far the largest thing here with many destinations
    return await process.run()


class RelayProcess:
    """One process of a relay, from its start to its exit code."""

    def __init__(self, cfg: config.Config, system: System, extras: config.Extras) -> None:
        self._known_list, self._cfg = cfg.known, replace(cfg, known=EndpointList(cfg.known.seq, True, ()))
        self._system, self._extras = system, extras
        self._loop = asyncio.get_running_loop()
        self._exit_code: asyncio.Future[int] = self._loop.create_future()
        self._terminated = asyncio.Event()
        reserved = reserved_space(cfg.disk_bytes)
        self._metrics = Metrics(cls.name for cls in cfg.settings.classes)
        self._disabled_hosts = DisabledHosts(cfg.state, system.disk, extras.durable, most_bytes=reserved.outs)
        self._operator_interface = OperatorInterface(self._metrics, self._disabled_hosts)
        self._operator_interface.names = (
            {listed.entry.host for listed in cfg.known.hosts} if cfg.console else set()
        )
        self._journal: Journal | None = None
        self._fronts: list[Server] = []
        self._intake: Intake | None = None  # what the fronts talk to
        self._coordinator: UpgradeCoordinator | None = None
        self._persist_timer: asyncio.TimerHandle | None = (
            None  # the next attempt to keep what a reload put aside
        )
        self._fleet_agent: Agent | None = None
        self._shares = descriptor_shares(cfg, extras)
        self._group_size = 0  # of the group, as it was counted; 0: as the settings tell

    @property
    def core(self) -> RelayCore | None:
        """The relay's core, once the journal is taken up."""
        return self._operator_interface.driver

    @property
    def terminating(self) -> bool:
        """Whether SIGTERM has come."""
        return self._terminated.is_set()

    async def run(self) -> int:
        """Come up, serve, shut down; the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._terminated.set)
        # Until the process is gone, also while it shuts down: a signal without a handler would end it.
        self._loop.add_signal_handler(signal.SIGHUP, self.handle_sighup)
        console = await self._open_console()
        self._metrics.reasons.start()
        try:
            return await self._serve()
        finally:
            self._metrics.reasons.stop()
            for front in self._fronts:
                front.close()
            if console is not None:
                console.close()
            if self._fleet_agent is not None:
                self._fleet_agent.close(leaving=True)
            if self.core is not None:
                self.core.close()
            if self._journal is not None:
                self._journal.close()
            if self._coordinator is not None:
                self._coordinator.close()

    async def _open_console(self) -> Console | None:
        """Listen for on-call staff, before all that takes time; imported only where it is asked for."""
        cfg = self._cfg
        if cfg.console is None:
            return None
        from mallowlug.console.server import Console  # noqa: PLC0415
        from mallowlug.upgrade.coordinator import UpgradeCoordinator  # noqa: PLC0415

        self._coordinator = UpgradeCoordinator(
            cfg.state, self._system.disk, self, self._extras.durable,
            max_handover_bytes=reserved_space(cfg.disk_bytes).binds,
        )  # fmt: skip
        console = Console(self._operator_interface, cfg.console, self._shares.callers - 1, self._system)
        await console.start()
        LOG.info("%s has its console at %s:%d", cfg.name, *cfg.console)
        return console

    async def _serve(self) -> int:
        coordinator = self._coordinator
        if coordinator is None:
            self.set_intake(self.start_core(None))
        else:
            if not await self._completes_before_sigterm(coordinator.wait_for_ownership()):
                return 0
            coordinator.take_over()
        await self._listen()
        LOG.info("%s serves at %s:%d", self._cfg.name, *self._cfg.listen)
        self._operator_interface.serving = True
        shutdown = self._loop.create_task(self._shut_down())
        pending: set[asyncio.Future[Any]] = {shutdown, self._exit_code}
        upgrade_task = None if coordinator is None else self._loop.create_task(coordinator.run())
        if upgrade_task is not None:
            pending.add(upgrade_task)
        await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        if self._exit_code.done():
            return self._exit_code.result()
        if upgrade_task is not None:
            if upgrade_task.done():
                upgrade_task.result()  # it never ends by itself: this raises
            upgrade_task.cancel()
        shutdown.result()
        return 0

    async def _completes_before_sigterm(self, awaitable: Any) -> bool:
        """Whether it ended before SIGTERM came."""
        task, sigterm = self._loop.create_task(awaitable), self._loop.create_task(self._terminated.wait())
        await asyncio.wait({task, sigterm}, return_when=asyncio.FIRST_COMPLETED)
        sigterm.cancel()
        if task.done():
            task.result()
            return True
        task.cancel()
        return False

    async def _listen(self) -> None:
        assert self._intake is not None
        self._fronts = build_fronts(
            self._cfg, self._extras, self._intake, self._system, self._metrics.reasons
        )
        for front in self._fronts:
            await front.start()
            if self._coordinator is not None and self._coordinator.had_predecessor and not front.prevail():
                LOG.warning("upgrade: new connections cannot be steered here; any process gets them")

    def start_core(self, handover: HandoverState | None) -> RelayCore:
        """Read the journal and go on from it."""
        cfg, system = self._cfg, self._system
        disk_bytes = cfg.disk_bytes - (cfg.console is not None) * reserved_space(cfg.disk_bytes).total
        self._journal = Journal(cfg.state, disk_bytes, system.disk, self._extras.durable)
        known, self._known_list = newest_list(handover, self._known_list), EndpointList(0, True, ())

        def crashed(_error: BaseException) -> None:
            if not self._exit_code.done():
                self._exit_code.set_result(1)

        core = RelayCore(
            settings=self._effective_settings(cfg.settings),
            seed=cfg.seed,
            journal=self._journal,
            plugs=build_adapters(cfg, known.seq, system, self._shares.calls, self._metrics.reasons),
            clock=clock_of(system, cfg.state, self._loop.time),
            listings=Listings(self._extras.active_destinations, self._extras.inactive_after_s),
            figures=self._metrics,
            outs=self._disabled_hosts,
            crashed=crashed,
        )
        core.start(known, handover)
        if self.core is not None:
            core.sent_before = self.core.gauges.sends
        self._operator_interface.driver, self._operator_interface.names = (
            core,
            set(),
        )  # the list itself answers from now on
        if self._extras.fleet is not None:
            self._join_fleet(self._extras.fleet)
        return core

    def _join_fleet(self, plan: config.FleetPlan) -> None:
        """Keep a view of the fleet, which says for how large a group parts are reckoned."""
        from mallowlug.fleet.agent import Agent, Place  # noqa: PLC0415

        cfg = self._cfg
        place = Place(
            plan.name, plan.listen, plan.address, plan.seeds, plan.zone, plan.period_s, plan.settle_s
        )
        self._fleet_agent = self._operator_interface.fleet = Agent(
            cfg.name, place, told=cfg.settings.group_size, folder=cfg.state, system=self._system,
            version=VERSION, resized=self._apply_group_size,
        )  # fmt: skip
        self._fleet_agent.open()

    def _apply_group_size(self, size: int) -> None:
        """The group is of another size: through the module, as any setting is."""
        self._group_size = size
        if self.core is not None:
            self.core.change_settings(self._effective_settings(self._cfg.settings))

    def _effective_settings(self, settings: Settings) -> Settings:
        """Settings with the group as it was counted, where it is, and no more calls out than descriptors."""
        max_calls, group_size = (
            min(settings.max_calls, self._shares.calls),
            self._group_size or settings.group_size,
        )
        return replace(settings, max_calls=max_calls, group_size=group_size)

    def retire(self) -> None:
        """Close the journal and let go of everything that is out."""
        assert self.core is not None and self._journal is not None
        if self._fleet_agent is not None:  # its address is the successor's, who is the same relay's next life
            self._fleet_agent.close(leaving=False)
            self._fleet_agent = self._operator_interface.fleet = None
        self.core.retire()
        self._journal.close()
        self._journal = None

    def set_intake(self, intake: Intake) -> None:
        """What clients bring goes there from now on."""
        self._intake = intake
        for front in self._fronts:
            front.core = intake

    def refresh_disabled_hosts(self) -> None:
        """The other process's staff may have put a host out or back."""
        self._disabled_hosts.refresh()

    def handle_sighup(self) -> None:
        """SIGHUP: read the file again and go by its settings and to the discovery that it names.

        What cannot be used changes nothing. Limits and addresses of this process count from the next start.
        """
        if self.reload_config():
            self._metrics.loaded += 1
        else:
            self._metrics.invalid += 1
        if self._coordinator is not None:
            self._coordinator.announce_sighup()

    def reload_config(self) -> bool:
        """Go by the file as it is now; False where it cannot be used."""
        try:
            cfg = config.load(self._system, reloading=True, shape=self._cfg.shape)
        except config.ConfigError as error:
            LOG.error("SIGHUP: the old configuration stays: %s", error)
            return False
        LOG.info("SIGHUP: discovery at %s:%d", *cfg.discovery)
        if cfg.listen != self._cfg.listen:
            LOG.warning("SIGHUP: a changed address of the relay waits for the next start")
        self._apply_config(cfg)
        self._persist_overridden_discovery()
        if self.core is not None:
            self.core.change_settings(self._effective_settings(cfg.settings))
            self.core.change_discovery(cfg.discovery)
        return True

    def _apply_config(self, cfg: config.Config) -> None:
        """These settings and this address count; limits and the process's own addresses stay."""
        names = ("settings", "discovery", "shape", "file_json", "overridden_discovery")
        self._cfg = replace(self._cfg, **{name: getattr(cfg, name) for name in names})

    def _persist_overridden_discovery(self) -> None:
        """Tell later lives that the variable counts no more, again until the disk takes it."""
        if self._persist_timer is not None:  # one chain of attempts, however many reloads ask for it
            self._persist_timer.cancel()
        self._persist_timer = None
        if (variable := self._cfg.overridden_discovery) and not config.persist_overridden_discovery(
            self._system, variable
        ):
            self._persist_timer = self._loop.call_later(PERSIST_RETRY_S, self._persist_overridden_discovery)

    def handover_state(self) -> HandoverState:
        """What binds a successor beside the journal: what the core knows, and what is in force here."""
        assert self.core is not None
        cfg, state = self._cfg, self.core.handover_state()
        state.config, state.aside = cfg.file_json.decode(), cfg.overridden_discovery
        state.discovery = "{}:{}".format(*cfg.discovery)
        return state

    def apply_config_in_force(self, handover: HandoverState | None) -> None:
        """Go by what counts at the take-over, not by what was read when this process started.

        The file as it is now counts, as at any start. Where it cannot be used, or lacks what the one in force
        had, the process before this one knows what does; where that is gone, this one goes on as it was.
        """
        former = self._config_in_force(handover)
        in_force = former or self._cfg
        try:
            cfg = config.load_for_takeover(self._system, self._cfg, in_force)
        except config.ConfigError as error:
            LOG.error("take-over: the file cannot be used, what was in force stays: %s", error)
            cfg = in_force
        self._apply_config(cfg)
        self._metrics.know(cls.name for cls in cfg.settings.classes)
        self._persist_overridden_discovery()
        LOG.info("take-over: discovery at %s:%d", *cfg.discovery)

    def _config_in_force(self, handover: HandoverState | None) -> config.Config | None:
        """What the process before this one went by, as far as it has told."""
        if handover is None or not handover.config:
            return None
        try:
            return config.config_from_handover(
                self._system, handover.config, handover.discovery, handover.aside
            )
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
        self._operator_interface.serving = False
        start_s = self._loop.time()
        assert self.core is not None
        self.core.shut_down(start_s + SHUTDOWN_LIMIT_S)

        def parted() -> bool:
            return self.core is not None and self.core.idle and not any(f.clients for f in self._fronts)

        if has_successor := self._coordinator is not None and self._coordinator.spool_writer is not None:
            for front in self._fronts:
                front.part()
            await asyncio.sleep(STOP_LISTENING_S)
            for front in self._fronts:
                front.shut()
        await self._wait_until(start_s + KEEP_SERVING_S, parted, start_s + 0.5)
        for front in self._fronts:
            front.drain_clients()
        await self._wait_until(
            start_s + SHUTDOWN_LIMIT_S, parted, start_s + (0.0 if has_successor else KEEP_SERVING_S + 0.3)
        )
        LOG.info("SIGTERM: shut down")

    async def _wait_until(self, deadline_s: float, done: Callable[[], bool], earliest_s: float) -> None:
        """Wait until it is done, between two times."""
        while self._loop.time() < deadline_s and not (self._loop.time() >= earliest_s and done()):
            await asyncio.sleep(POLL_S)
