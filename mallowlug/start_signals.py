"""Signals that reach a relay before it can handle them are held back, so that none ends it or is lost.

Imported before everything else, so it imports nothing but the module of signals. Until then the deploy file's
line has SIGHUP ignored: the configuration file is read only later.
"""

from __future__ import annotations

import signal

HELD = frozenset((signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


def hold() -> None:
    """Hold the signals back; they are delivered once they are released."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD)


def termination_requested() -> bool:
    """Return whether a signal that ends the process is held back."""
    return bool(signal.sigpending() & {signal.SIGTERM, signal.SIGINT})


def release() -> None:
    """Deliver the signals that were held back, and later ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD)
