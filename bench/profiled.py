"""Runs the relay under cProfile: ``python -m bench.profiled OUT`` (pstats)."""

from __future__ import annotations

import cProfile
import sys
from pathlib import Path

from mallowlug.cli.run import run as serve


def run(out: Path) -> int:
    """Run the relay until SIGTERM, then write the profile."""
    profile = cProfile.Profile()
    try:
        return profile.runcall(serve)
    finally:
        profile.dump_stats(out)


if __name__ == "__main__":
    sys.exit(run(Path(sys.argv[1])))
