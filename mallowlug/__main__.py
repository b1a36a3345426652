"""Start and exit code of one relay: ``python -m mallowlug``."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from mallowlug import config
from mallowlug.compose import serve

LOG = logging.getLogger("mallowlug")


def main() -> int:
    """Read the configuration and serve; 2 where it cannot be used."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # before the handler stands: the file is being read anyway
    logging.basicConfig(
        level=logging.INFO,
        stream=sys.stderr,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    try:
        cfg = config.load(os.environ)
    except config.ConfigError as error:
        LOG.critical("configuration: %s", error)
        return 2
    return asyncio.run(serve(cfg))


if __name__ == "__main__":
    sys.exit(main())
