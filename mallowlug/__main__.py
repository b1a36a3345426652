"""``python -m mallowlug``: the platform's relay; with words behind it, the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Without a word, exactly the platform's relay: not even the command line is imported."""
    if len(sys.argv) > 1:
        from mallowlug.cli.main import main as command  # noqa: PLC0415

        return command()
    from mallowlug.cli.run import run  # noqa: PLC0415

    return run()


if __name__ == "__main__":
    sys.exit(main())
