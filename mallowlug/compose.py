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
from mallowlug.core.desk import Desk
from mallowlug.core.figures import Figures
from mallowlug.core.journal import Journal
from mallowlug.core.listings import Listings
from mallowlug.core.model import HostList
from mallowlug.core.outs import Outs
from mallowlug.core.ports import Front, Intake, Plugs
from mallowlug.core.relay import Driver
from mallowlug.directory.discovery import Watch
from mallowlug.ends.notices import Notices
from mallowlug.fronts.resp2 import Server
from mallowlug.partners.http_calls import Hosts
from mallowlug.system import System

if TYPE_CHECKING:
    from mallowlug.console.server import Console

LOG = logging.getLogger("mallowlug")
SERVE_S = 2.6  # s after SIGTERM in which clients are still served: nobody else has what they would bring
LAST_S = 3.2  # s after SIGTERM when the process is gone by itself; SIGKILL comes no sooner than 3.7 s
STAFF_BYTES = 8 * 1024  # of the lasting folder, where there is a console: what is kept of its calls
CALLERS = 16  # one descriptor in so many is for the console's callers
LOOK_S = 0.02  # s between looks whether a shutdown is complete


def fronts_of(cfg: config.Config, extras: config.Extras, core: Intake, system: System) -> list[Front]:
    """The platform's front, then the operator's; all share one half of the descriptors."""
    left = cfg.sockets // 2 - sum(plan.connections for plan in extras.fronts)
    if left < cfg.sockets // 4:
        raise config.ConfigError(f"front: at most {cfg.sockets // 4} connections beside the platform's")
    plans = [(cfg.listen, left), *((plan.listen, plan.connections) for plan in extras.fronts)]
    return [Server(core, address, most, system) for address, most in plans]


def plugs_of(cfg: config.Config, system: System) -> Plugs:
    """The platform's adapters, bound to what the configuration tells."""
    return Plugs(
        partners=lambda settled, released: Hosts(
            cfg.settings.kinds,
            cfg.settings.keepalive_us,
            cfg.connect_timeout_us,
            cfg.sockets // 4,
            settled=settled,
            released=released,
            system=system,
        ),
        directory=lambda told, failed: Watch(
            cfg.discovery, cfg.known.seq, told, failed, system, most_line=cfg.memory_bytes // 8
        ),
        ends=lambda confirmed: Notices(cfg.discovery, confirmed, system),
    )


async def serve(cfg: config.Config, system: System, extras: config.Extras = config.NOTHING) -> int:
    """Run until SIGTERM or until the step loop breaks; the exit code."""
    known, cfg = cfg.known, replace(cfg, known=HostList(cfg.known.seq, True, ()))
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[int] = loop.create_future()
    figures = Figures(cls.name for cls in cfg.settings.classes)
    outs = Outs(cfg.state, system.disk)
    desk = Desk(figures, outs)
    console = await open_console(cfg, desk, system)
    disk_bytes = cfg.disk_bytes - (cfg.console is not None) * STAFF_BYTES
    journal = Journal(cfg.state, disk_bytes, system.disk, extras.durable)

    def crashed(_error: BaseException) -> None:
        if not ended.done():
            ended.set_result(1)

    driver = Driver(
        settings=cfg.settings,
        seed=cfg.seed,
        journal=journal,
        plugs=plugs_of(cfg, system),
        clock=clock_of(system, cfg.state, loop.time),
        listings=Listings(extras.awake, extras.rest_s),
        figures=figures,
        outs=outs,
        crashed=crashed,
    )
    fronts = fronts_of(cfg, extras, driver, system)
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    # Until the process is gone, also while it shuts down: a signal without a handler would end it.
    loop.add_signal_handler(signal.SIGHUP, reload, driver, cfg, system, figures)
    driver.start(known)
    desk.driver = driver
    del known  # with many destinations it is by far the largest thing here
    for front in fronts:
        await front.start()
    LOG.info("%s serves at %s:%d", cfg.name, *cfg.listen)
    desk.serving = True
    stop = loop.create_task(shut_down(terminated, driver, fronts, desk))
    both: set[asyncio.Future[Any]] = {stop, ended}
    await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
    for front in fronts:
        front.close()
    if console is not None:
        console.close()
    driver.close()
    journal.close()
    if ended.done():
        return ended.result()
    stop.result()
    return 0


async def open_console(cfg: config.Config, desk: Desk, system: System) -> Console | None:
    """Listen for on-call staff, before all that takes time; imported only where it is asked for."""
    if cfg.console is None:
        return None
    from mallowlug.console.server import Console  # noqa: PLC0415

    console = Console(desk, cfg.console, cfg.sockets // CALLERS, system)
    await console.start()
    LOG.info("%s has its console at %s:%d", cfg.name, *cfg.console)
    return console


def reload(driver: Driver, started: config.Config, system: System, figures: Figures) -> None:
    """SIGHUP: read the file again and go by its settings and to the discovery that it names.

    What cannot be used changes nothing. Limits and addresses of this process count from the next start.
    """
    try:
        cfg = config.load(system, reloading=True, shape=started.shape)
    except config.ConfigError as error:
        LOG.error("SIGHUP: the old configuration stays: %s", error)
        figures.invalid += 1
        return
    figures.loaded += 1
    LOG.info("SIGHUP: discovery at %s:%d", *cfg.discovery)
    if cfg.listen != started.listen:
        LOG.warning("SIGHUP: a changed address of the relay waits for the next start")
    driver.change(cfg.settings)
    driver.move(cfg.discovery)


async def shut_down(terminated: asyncio.Event, driver: Driver, fronts: list[Front], desk: Desk) -> None:
    """After SIGTERM: serve on while calls can still end, then part from clients between their requests.

    A connection that ends with a request unanswered loses a message. So connections are closed while the
    server still listens: a request that crosses the close comes again on a new one and gets its answer.
    """
    await terminated.wait()
    LOG.info("SIGTERM: shutting down")
    desk.serving = False
    start_s = asyncio.get_running_loop().time()
    driver.shut_down(start_s + LAST_S)

    def parted() -> bool:
        return driver.idle and not any(front.clients for front in fronts)

    await until(start_s + SERVE_S, parted, start_s + 0.5)
    for front in fronts:
        front.end_clients()
    await until(start_s + LAST_S, parted, start_s + SERVE_S + 0.3)
    LOG.info("SIGTERM: shut down")


async def until(last_s: float, done: Callable[[], bool], first_s: float) -> None:
    """Wait until it is done, between two times."""
    loop = asyncio.get_running_loop()
    while loop.time() < last_s and not (loop.time() >= first_s and done()):
        await asyncio.sleep(LOOK_S)
