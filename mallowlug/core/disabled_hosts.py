"""Hosts disabled by an operator, stored in the state folder before the operator's call succeeds.

The file has one host id per line, in JSON; a new version is written beside the old one and replaces it by a
rename. A host stays disabled over restarts, upgrades and list changes, until an operator enables it again.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

import msgspec

from mallowlug.core.reserved_space import LARGE_FOLDER
from mallowlug.system import Disk, replace_file

LOG = logging.getLogger(__name__)
FILE = "out"
MAX_HOST_ID_LENGTH = 128  # characters


def read_hosts(data: bytes) -> tuple[dict[str, None], bool]:
    """Return the hosts in a file and whether every line was valid; invalid lines are logged and skipped."""
    hosts: dict[str, None] = {}
    complete = True
    for line in data.split(b"\n"):
        if not line.strip():
            continue
        try:
            host = msgspec.json.decode(line, type=str)
        except msgspec.MsgspecError as error:
            LOG.error("disabled hosts: unreadable line skipped: %s", error)
            complete = False
            continue
        if 0 < len(host) <= MAX_HOST_ID_LENGTH:
            hosts[host] = None
        else:
            LOG.error("disabled hosts: line with an invalid host id skipped")
            complete = False
    return hosts, complete


class DisabledHosts:
    """The set of disabled hosts. ``on_change`` is called for every change, once it is stored."""

    def __init__(
        self,
        folder: Path,
        disk: Disk,
        durable: bool = False,
        *,
        max_bytes: int = LARGE_FOLDER.disabled_hosts_bytes,
    ) -> None:
        """``max_bytes``: size limit of the file, which shares the folder's budget with the journal."""
        self._max_bytes = max_bytes
        self._path, self._disk, self._durable = folder / FILE, disk, durable
        self.on_change: Callable[[str, bool], None] = lambda _host, _disabled: None
        self.hosts: dict[str, None] = {}
        self.hosts = self._read()

    def _read(self) -> dict[str, None]:
        """Read the file; where it is missing or damaged, hosts known as disabled stay so."""
        try:
            hosts, complete = read_hosts(self._disk.read(self._path))
        except FileNotFoundError:
            return self.hosts
        except OSError as error:
            LOG.error("disabled hosts: cannot read the file: %s", error)
            return self.hosts
        return hosts if complete else self.hosts | hosts

    def refresh(self) -> None:
        """Read the file again, as another process of this relay may have changed it."""
        former, self.hosts = self.hosts, self._read()
        for host in former.keys() ^ self.hosts.keys():
            LOG.warning("disabled hosts: %s was %s in the other process", host, self._state_text(host))
            self.on_change(host, host in self.hosts)

    def _state_text(self, host: str) -> str:
        return "disabled" if host in self.hosts else "enabled"

    def disable(self, host: str) -> str:
        """Disable a host; idempotent. Returns why it failed, or an empty string."""
        self.refresh()
        return "" if host in self.hosts else self._save({**self.hosts, host: None}, host)

    def enable(self, host: str) -> str:
        """Enable a host, however often it was disabled. Returns why it failed, or an empty string."""
        self.refresh()
        if host not in self.hosts:
            return ""
        return self._save({known: None for known in self.hosts if known != host}, host)

    def _save(self, hosts: dict[str, None], host: str) -> str:
        """Store a new set of hosts and report the change of ``host``; returns why it failed, or empty."""
        data = b"".join(msgspec.json.encode(name) + b"\n" for name in hosts)
        if len(data) > self._max_bytes and len(hosts) > len(self.hosts):
            return "too many hosts are out already"
        try:
            if not replace_file(self._disk, self._path, data, self._durable):
                return "the disk is full"
        except OSError as error:
            LOG.error("disabled hosts: change of %s not stored: %s", host, error)
            return f"not kept: {error}"
        self.hosts = hosts
        LOG.warning("disabled hosts: %s was %s", host, self._state_text(host))
        self.on_change(host, host in hosts)
        return ""
