"""The composition root: builds one relay from the core and its adapters and runs it."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from mallowlug import config, start_signals
from mallowlug.core.clock import create_clock
from mallowlug.core.descriptors import DescriptorShares, split_descriptors
from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.handover import HandoverState
from mallowlug.core.journal import Journal
from mallowlug.core.listings import Listings, endpoint_from_row
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
from mallowlug.partners.pool import PoolLimits
from mallowlug.system import System
from mossfront.interface import Settings

if TYPE_CHECKING:
    from mallowlug.console.server import Console
    from mallowlug.fleet.agent import Agent
    from mallowlug.upgrade.coordinator import UpgradeCoordinator

LOG = logging.getLogger("mallowlug")
VERSION = "0.2.0"  # of the program, as announced to the other relays of a fleet
# Seconds after SIGTERM: until then clients are still served, as no other process would accept their messages.
KEEP_SERVING_S = 2.6
SHUTDOWN_LIMIT_S = 3.2  # the process has ended by itself; SIGKILL follows after 3.7 s at the earliest
STOP_LISTENING_S = 0.3  # a process with a successor stops listening: its accept queue is empty by then
MIN_ANSWER_S = 0.05  # min timeout for an agent's answer if a drain has no grace; the tolerance of the rules
POLL_S = 0.02  # s between checks whether a shutdown is complete
PERSIST_RETRY_S = 0.1  # s between attempts to write what could not be written


def build_fronts(
    cfg: config.Config, extras: config.Extras, core: Intake, system: System, reasons: Reasons
) -> list[Resp2Server]:
    """Build the platform's front, then the operator's; together they may use one half of the descriptors.

    Raises ``ConfigError`` if the operator's fronts leave too few connections for the platform's.
    """
    shares = descriptor_shares(cfg, extras)
    platform_connections = shares.clients - sum(plan.connections for plan in extras.fronts)
    if platform_connections < cfg.sockets // 4:
        raise config.ConfigError(f"front: at most {cfg.sockets // 4} connections beside the platform's")
    listeners = [
        (cfg.listen, platform_connections),
        *((plan.listen, plan.connections) for plan in extras.fronts),
    ]
    # A second process may listen at the same address only if a console can tell operators when it is ready.
    shared = cfg.console is not None
    burst = max(1, shares.accept_burst // len(listeners))
    return [
        Resp2Server(core, address, max_connections, system, shared, accept_backlog=burst, reasons=reasons)
        for address, max_connections in listeners
    ]


def descriptor_shares(cfg: config.Config, extras: config.Extras) -> DescriptorShares:
    """Divide the file descriptors between fronts, calls and console; warn if they are too few."""
    listeners = 1 + len(extras.fronts) + (extras.fleet is not None)
    shares = split_descriptors(cfg.sockets, listeners, cfg.console is not None)
    if shares.total > cfg.sockets:
        LOG.warning(
            "limits.sockets: %d descriptors are too few for separate shares of fronts, calls and console",
            cfg.sockets,
        )
    return shares


def build_adapters(
    cfg: config.Config, seq: int, system: System, max_calls: int, reasons: Reasons
) -> Adapters:
    """Return factories for the platform's adapters, bound to the configuration."""
    return Adapters(
        partners=lambda settled, released: HttpPartners(
            cfg.settings.kinds,
            cfg.connect_timeout_us,
            PoolLimits(cfg.settings.keepalive_us, min(cfg.sockets // 4, max_calls), max_calls),
            settled=settled,
            released=released,
            system=system,
            reasons=reasons,
        ),
        directory=lambda on_update, failed: DirectoryWatch(
            cfg.discovery,
            seq,
            on_update,
            failed,
            system,
            max_line_bytes=cfg.memory_bytes // 8,
            response_timeout_s=watch_answer_timeout_s(cfg),
        ),
        notifier=lambda confirmed: HttpNotifier(cfg.discovery, confirmed, system),
    )


def watch_answer_timeout_s(cfg: config.Config) -> float:
    """Return how long (s) a watch request may wait for its answer.

    An agent on the relay's machine that pushes the list answers at once or, while discovery is down, not at
    all. What it receives counts as announced to the relay at that moment. So after discovery returns, a
    request that hangs must time out within the grace of a drain.
    """
    min_s = max(MIN_ANSWER_S, cfg.settings.drain_grace_us / 4e6)
    return min(FIRST_LINE_TIMEOUT_S, min_s) if cfg.settings.list_is_pushed else FIRST_LINE_TIMEOUT_S


def newest_list(handover: HandoverState | None, known: EndpointList) -> EndpointList:
    """Return the newer of the endpoint list that was handed over and the configured one.

    If the list was too long to be handed over, return an empty one, so that it is requested again: the
    configured list may lack a drain that the former owner knew of.
    """
    if handover is not None and handover.seq < 0:
        return EndpointList(0, True, ())
    if handover is None or handover.seq < known.seq or not handover.rows:
        return known
    hosts = tuple(endpoint_from_row(tuple(row), dest) for dest, rows in handover.rows.items() for row in rows)
    return EndpointList(handover.seq, True, hosts)


async def serve(cfg: config.Config, system: System, extras: config.Extras = config.DEFAULT_EXTRAS) -> int:
    """Run a relay until SIGTERM or a crash of its core; return the exit code."""
    process = RelayProcess(cfg, system, extras)
    del cfg  # frees the configured endpoint list, by far the largest object with many destinations
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
        self._disabled_hosts = DisabledHosts(
            cfg.state, system.disk, extras.durable, max_bytes=reserved.disabled_hosts_bytes
        )
        self._operator_interface = OperatorInterface(self._metrics, self._disabled_hosts)
        self._operator_interface.known_hosts = (
            {listed.entry.host for listed in cfg.known.hosts} if cfg.console else set()
        )
        self._journal: Journal | None = None
        self._fronts: list[Resp2Server] = []
        self._intake: Intake | None = None  # receives what clients submit to the fronts
        self._coordinator: UpgradeCoordinator | None = None
        # The next attempt to write down which ROUTER_DISCOVERY a reload has overridden.
        self._persist_timer: asyncio.TimerHandle | None = None
        self._fleet_agent: Agent | None = None
        self._shares = descriptor_shares(cfg, extras)
        self._group_size = 0  # relays of the group as counted by the fleet view; 0: use the settings

    @property
    def core(self) -> RelayCore | None:
        """The relay core, once the journal has been replayed."""
        return self._operator_interface.core

    @property
    def terminating(self) -> bool:
        """Whether SIGTERM was received."""
        return self._terminated.is_set()

    async def run(self) -> int:
        """Start, serve and shut down; return the exit code."""
        if start_signals.termination_requested():
            return 0  # nothing is open yet, and nothing was taken on
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._terminated.set)
        # Installed until the process ends, also during shutdown: SIGHUP without a handler would kill it.
        self._loop.add_signal_handler(signal.SIGHUP, self.handle_sighup)
        start_signals.release()
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
        """Open the operators' console, if configured, before any step of the start that takes time.

        The modules for console and upgrades are imported only if it is configured.
        """
        cfg = self._cfg
        if cfg.console is None:
            return None
        from mallowlug.console.server import Console  # noqa: PLC0415
        from mallowlug.upgrade.coordinator import UpgradeCoordinator  # noqa: PLC0415

        self._coordinator = UpgradeCoordinator(
            cfg.state, self._system.disk, self, self._extras.durable,
            max_handover_bytes=reserved_space(cfg.disk_bytes).handover_bytes,
        )  # fmt: skip
        console = Console(
            self._operator_interface, cfg.console, self._shares.console_connections - 1, self._system
        )
        await console.start()
        LOG.info("%s: console listening at %s:%d", cfg.name, *cfg.console)
        return console

    async def _serve(self) -> int:
        """Become the owner, serve until shutdown or a crash of the core, and return the exit code."""
        coordinator = self._coordinator
        if coordinator is None:
            self.set_intake(self.start_core(None))
        else:
            if not await self._completes_before_sigterm(coordinator.wait_for_ownership()):
                return 0
            coordinator.take_over()
        await self._listen()
        LOG.info("%s: serving clients at %s:%d", self._cfg.name, *self._cfg.listen)
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
                upgrade_task.result()  # it never returns, so this raises its exception
            upgrade_task.cancel()
        shutdown.result()
        return 0

    async def _completes_before_sigterm(self, awaitable: Any) -> bool:
        """Run an awaitable until SIGTERM; return whether it completed before."""
        task, sigterm = self._loop.create_task(awaitable), self._loop.create_task(self._terminated.wait())
        await asyncio.wait({task, sigterm}, return_when=asyncio.FIRST_COMPLETED)
        sigterm.cancel()
        if task.done():
            task.result()
            return True
        task.cancel()
        return False

    async def _listen(self) -> None:
        """Open the fronts; after a takeover, direct new connections to this process."""
        assert self._intake is not None
        self._fronts = build_fronts(
            self._cfg, self._extras, self._intake, self._system, self._metrics.reasons
        )
        for front in self._fronts:
            await front.start()
            if (
                self._coordinator is not None
                and self._coordinator.had_predecessor
                and not front.steer_connections_here()
            ):
                LOG.warning("upgrade: cannot steer new connections to this process; any process may get them")

    def start_core(self, handover: HandoverState | None) -> RelayCore:
        """Replay the journal and start a core from it."""
        cfg, system = self._cfg, self._system
        disk_bytes = cfg.disk_bytes - (cfg.console is not None) * reserved_space(cfg.disk_bytes).total_bytes
        self._journal = Journal(cfg.state, disk_bytes, system.disk, self._extras.durable)
        known, self._known_list = newest_list(handover, self._known_list), EndpointList(0, True, ())

        def crashed(_error: BaseException) -> None:
            if not self._exit_code.done():
                self._exit_code.set_result(1)

        core = RelayCore(
            settings=self._effective_settings(cfg.settings),
            seed=cfg.seed,
            journal=self._journal,
            adapters=build_adapters(cfg, known.seq, system, self._shares.calls, self._metrics.reasons),
            clock=create_clock(system, cfg.state, self._loop.time),
            listings=Listings(self._extras.active_destinations, self._extras.inactive_after_s),
            metrics=self._metrics,
            disabled_hosts=self._disabled_hosts,
            on_crash=crashed,
        )
        core.start(known, handover)
        if self.core is not None:
            core.sent_by_former_core = self.core.gauges.sends
        # From now on the core's own list says which hosts are known.
        self._operator_interface.core, self._operator_interface.known_hosts = core, set()
        if self._extras.fleet is not None:
            self._join_fleet(self._extras.fleet)
        return core

    def _join_fleet(self, plan: config.FleetPlan) -> None:
        """Start the agent for the fleet view, whose group size determines this relay's share of quotas."""
        from mallowlug.fleet.agent import Agent, FleetConfig  # noqa: PLC0415

        cfg = self._cfg
        fleet_config = FleetConfig(
            plan.name, plan.listen, plan.address, plan.seeds, plan.zone, plan.period_s, plan.settle_s
        )
        self._fleet_agent = self._operator_interface.fleet = Agent(
            cfg.name, fleet_config, configured_size=cfg.settings.group_size, folder=cfg.state,
            system=self._system, version=VERSION, on_group_size_changed=self._apply_group_size,
        )  # fmt: skip
        self._fleet_agent.open()

    def _apply_group_size(self, size: int) -> None:
        """Apply a changed group size as a change of the settings."""
        self._group_size = size
        if self.core is not None:
            self.core.change_settings(self._effective_settings(self._cfg.settings))

    def _effective_settings(self, settings: Settings) -> Settings:
        """Return settings with the counted group size, if any, and no more open calls than descriptors."""
        max_calls, group_size = (
            min(settings.max_calls, self._shares.calls),
            self._group_size or settings.group_size,
        )
        return replace(settings, max_calls=max_calls, group_size=group_size)

    def retire(self) -> None:
        """Close the journal and abandon the open calls."""
        assert self.core is not None and self._journal is not None
        # The successor takes over the address, as the same relay after a restart: no leave is announced.
        if self._fleet_agent is not None:
            self._fleet_agent.close(leaving=False)
            self._fleet_agent = self._operator_interface.fleet = None
        self.core.retire()
        self._journal.close()
        self._journal = None

    def set_intake(self, intake: Intake) -> None:
        """Send what clients submit to this intake from now on."""
        self._intake = intake
        for front in self._fronts:
            front.intake = intake

    def refresh_disabled_hosts(self) -> None:
        """Read again which hosts are disabled, as an operator may have changed them at the other process."""
        self._disabled_hosts.refresh()

    def handle_sighup(self) -> None:
        """Reload the configuration, count the result and pass the SIGHUP on to the other process."""
        if self.reload_config():
            self._metrics.configs_loaded += 1
        else:
            self._metrics.configs_invalid += 1
        if self._coordinator is not None:
            self._coordinator.announce_sighup()

    def reload_config(self) -> bool:
        """Read the file again and apply its settings and discovery address; return False if it is unusable.

        An unusable file changes nothing. Limits and this process's own addresses apply only from the next
        start.
        """
        try:
            cfg = config.load(self._system, reloading=True, shape=self._cfg.shape)
        except config.ConfigError as error:
            LOG.error("SIGHUP: the file is unusable, keeping the configuration in force: %s", error)
            return False
        LOG.info("SIGHUP: configuration reloaded, discovery at %s:%d", *cfg.discovery)
        if cfg.listen != self._cfg.listen:
            LOG.warning("SIGHUP: the changed listen address applies only from the next start")
        self._apply_config(cfg)
        self._persist_overridden_discovery()
        if self.core is not None:
            self.core.change_settings(self._effective_settings(cfg.settings))
            self.core.change_discovery(cfg.discovery)
        return True

    def _apply_config(self, cfg: config.Config) -> None:
        """Take over settings and discovery address; limits and the process's own addresses stay."""
        names = ("settings", "discovery", "shape", "file_json", "overridden_discovery")
        self._cfg = replace(self._cfg, **{name: getattr(cfg, name) for name in names})

    def _persist_overridden_discovery(self) -> None:
        """Record the overridden ``ROUTER_DISCOVERY`` for later restarts; retry until it is written."""
        if self._persist_timer is not None:  # one chain of retries, however many reloads
            self._persist_timer.cancel()
        self._persist_timer = None
        if (variable := self._cfg.overridden_discovery) and not config.persist_overridden_discovery(
            self._system, variable
        ):
            self._persist_timer = self._loop.call_later(PERSIST_RETRY_S, self._persist_overridden_discovery)

    def handover_state(self) -> HandoverState:
        """Return the state that a successor needs and that is not in the journal, with the configuration."""
        assert self.core is not None
        cfg, state = self._cfg, self.core.handover_state()
        state.config, state.aside = cfg.file_json.decode(), cfg.overridden_discovery
        state.discovery = "{}:{}".format(*cfg.discovery)
        return state

    def apply_config_in_force(self, handover: HandoverState | None) -> None:
        """Apply the configuration in force at the takeover; it may differ from the one read at the start.

        The file as it is now applies, as at any start. If it is unusable, or lacks keys of the configuration
        in force, the configuration that the former owner handed over applies; without one, this process keeps
        the one that it read at its start.
        """
        former = self._config_in_force(handover)
        in_force = former or self._cfg
        try:
            cfg = config.load_for_takeover(self._system, self._cfg, in_force)
        except config.ConfigError as error:
            LOG.error("takeover: the file is unusable, keeping the configuration in force: %s", error)
            cfg = in_force
        self._apply_config(cfg)
        self._metrics.add_groups(cls.name for cls in cfg.settings.classes)
        self._persist_overridden_discovery()
        LOG.info("takeover: discovery at %s:%d", *cfg.discovery)

    def _config_in_force(self, handover: HandoverState | None) -> config.Config | None:
        """Return the configuration that the former owner handed over, if there is a valid one."""
        if handover is None or not handover.config:
            return None
        try:
            return config.config_from_handover(
                self._system, handover.config, handover.discovery, handover.aside
            )
        except config.ConfigError as error:
            LOG.error("takeover: the configuration that was handed over is invalid: %s", error)
            return None

    async def _shut_down(self) -> None:
        """After SIGTERM, go on serving while calls can still end, then close connections between requests.

        A connection that ends with a request unanswered loses a message. So connections are closed while the
        server still listens: a client whose request crosses the close can repeat it on a new connection and
        get its answer. A process with a successor gets no new connections, and closes each one after an
        answer.
        """
        await self._terminated.wait()
        LOG.info("SIGTERM: shutting down")
        self._operator_interface.serving = False
        start_s = self._loop.time()
        assert self.core is not None
        self.core.shut_down(start_s + SHUTDOWN_LIMIT_S)

        def drained() -> bool:
            return (
                self.core is not None and self.core.idle and not any(front.clients for front in self._fronts)
            )

        if has_successor := self._coordinator is not None and self._coordinator.spool_writer is not None:
            for front in self._fronts:
                front.close_after_next_answer()
            await asyncio.sleep(STOP_LISTENING_S)
            for front in self._fronts:
                front.stop_listening()
        await self._wait_until(start_s + KEEP_SERVING_S, drained, start_s + 0.5)
        for front in self._fronts:
            front.drain_clients()
        await self._wait_until(
            start_s + SHUTDOWN_LIMIT_S, drained, start_s + (0.0 if has_successor else KEEP_SERVING_S + 0.3)
        )
        LOG.info("SIGTERM: shutdown complete")

    async def _wait_until(self, deadline_s: float, done: Callable[[], bool], earliest_s: float) -> None:
        """Wait until ``done()`` holds, but between ``earliest_s`` and ``deadline_s`` of loop time."""
        while self._loop.time() < deadline_s and not (self._loop.time() >= earliest_s and done()):
            await asyncio.sleep(POLL_S)
