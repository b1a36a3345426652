"""``mallowlug run``: one relay in the foreground, and the exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from pathlib import Path

from mallowlug import config
from mallowlug.compose import serve
from mallowlug.system import POSIX

LOG = logging.getLogger("mallowlug")


def run(operator: Path | None = None) -> int:
    """Read the configuration and serve; 2 where it, or the operator file, cannot be used."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # before the handler stands: the file is being read anyway
    logging.basicConfig(
        level=logging.INFO,
        stream=sys.stderr,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    try:
        extras = config.DEFAULT_EXTRAS if operator is None else load(operator)
        gc.disable()  # a long list is much that lasts until it is taken in
        cfg = config.load(POSIX)
        if extras.log_format == "json":
            from mallowlug.operator import logs  # noqa: PLC0415

            logs.install(cfg.name, f"{cfg.seed:x}")
        gc.enable()
        gc.freeze()  # modules and settings stay: going through them each time took a quarter of the CPU
        relay = serve(cfg, POSIX, extras)
        del cfg  # it holds the list as it was known, which goes once it is taken in
        return asyncio.run(relay)
    except config.ConfigError as error:
        LOG.critical("configuration: %s", error)
        return 2


def load(operator: Path) -> config.Extras:
    """The operator file's extras; what reads it is imported only here."""
    from mallowlug.operator import model  # noqa: PLC0415

    try:
        extras = model.load(operator)
    except ValueError as error:
        raise config.ConfigError(str(error)) from None
    logging.getLogger().setLevel(extras.log_level)
    return extras
