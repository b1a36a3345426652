"""``python -m mallowlug``: runs the platform's relay; with arguments, the command line."""

from __future__ import annotations

import sys

from mallowlug import start_signals


def main() -> int:
    """Run the relay where there are no arguments, without importing the command line."""
    start_signals.hold()
    if len(sys.argv) > 1:
        from mallowlug.cli.main import main as command  # noqa: PLC0415

        return command()
    from mallowlug.cli.run import run  # noqa: PLC0415

    return run()


if __name__ == "__main__":
    sys.exit(main())
