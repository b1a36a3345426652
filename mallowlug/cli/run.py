"""``mallowlug run``: runs one relay in the foreground."""

from __future__ import annotations

import asyncio
import gc
import logging
import sys
from pathlib import Path

from mallowlug import config, start_signals
from mallowlug.compose import serve
from mallowlug.system import POSIX

LOG = logging.getLogger("mallowlug")


def run(operator: Path | None = None) -> int:
    """Read the configuration and serve; return the exit code, 2 if the configuration is unusable."""
    start_signals.hold()
    logging.basicConfig(
        level=logging.INFO,
        stream=sys.stderr,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    try:
        extras = config.DEFAULT_EXTRAS if operator is None else load(operator)
        gc.disable()  # a long endpoint list allocates many objects that live until the relay has read it
        cfg = config.load(POSIX)
        if extras.log_format == "json":
            from mallowlug.operator import logs  # noqa: PLC0415

            logs.install(cfg.name, f"{cfg.seed:x}")
        gc.enable()
        gc.freeze()  # modules and settings stay: traversing them took a quarter of the CPU
        relay = serve(cfg, POSIX, extras)
        del cfg  # frees the configured endpoint list once the relay has read it
        return asyncio.run(relay)
    except config.ConfigError as error:
        LOG.critical("configuration: %s", error)
        return 2


def load(operator: Path) -> config.Extras:
    """Read the operator file and set the log level; its reader is imported only here."""
    from mallowlug.operator import model  # noqa: PLC0415

    try:
        extras = model.load(operator)
    except ValueError as error:
        raise config.ConfigError(str(error)) from None
    logging.getLogger().setLevel(extras.log_level)
    return extras
