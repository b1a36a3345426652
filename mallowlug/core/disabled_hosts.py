"""Hosts that on-call staff have taken out by hand: kept in the lasting folder before anybody is told yes.

The file is written anew beside the old one and put in its place by one rename, one host's id a line in JSON.
A ban outlasts restarts, upgrades and whatever the list says; only a call back ends it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

import msgspec

from mallowlug.core.reserved_space import LARGE_FOLDER
from mallowlug.system import Disk, swap

LOG = logging.getLogger(__name__)
FILE = "out"
MAX_HOST_ID_LENGTH = 128  # characters of a host's id


def read_hosts(data: bytes) -> tuple[dict[str, None], bool]:
    """The hosts that a file names, and whether all of it could be read; what could not be is logged."""
    hosts: dict[str, None] = {}
    complete = True
    for line in data.split(b"\n"):
        if not line.strip():
            continue
        try:
            host = msgspec.json.decode(line, type=str)
        except msgspec.MsgspecError as error:
            LOG.error("hosts out: a line that cannot be read was left out: %s", error)
            complete = False
            continue
        if 0 < len(host) <= MAX_HOST_ID_LENGTH:
            hosts[host] = None
        else:
            LOG.error("hosts out: a line that names no host was left out")
            complete = False
    return hosts, complete


class DisabledHosts:
    """Which hosts are out. ``changed`` hears of every change, once it is kept."""

    def __init__(
        self,
        folder: Path,
        disk: Disk,
        durable: bool = False,
        *,
        max_bytes: int = LARGE_FOLDER.disabled_hosts_bytes,
    ) -> None:
        """``most_bytes``: of the file, which shares the folder's budget with the journal."""
        self._max_bytes = max_bytes
        self._path, self._disk, self._durable = folder / FILE, disk, durable
        self.on_change: Callable[[str, bool], None] = lambda _host, _out: None
        self.hosts: dict[str, None] = {}
        self.hosts = self._read()

    def _read(self) -> dict[str, None]:
        """What the file says; what it cannot say puts no host back."""
        try:
            hosts, complete = read_hosts(self._disk.read(self._path))
        except FileNotFoundError:
            return self.hosts
        except OSError as error:
            LOG.error("hosts out: not read: %s", error)
            return self.hosts
        return hosts if complete else self.hosts | hosts

    def refresh(self) -> None:
        """Hear what another process of this relay was told."""
        former, self.hosts = self.hosts, self._read()
        for host in former.keys() ^ self.hosts.keys():
            LOG.warning("hosts out: %s is %s, as the other process was told", host, self._state_text(host))
            self.on_change(host, host in self.hosts)

    def _state_text(self, host: str) -> str:
        return "out by hand" if host in self.hosts else "back"

    def disable(self, host: str) -> str:
        """Leave a host out; else why not. Twice is once."""
        self.refresh()
        return "" if host in self.hosts else self._save({**self.hosts, host: None}, host)

    def enable(self, host: str) -> str:
        """A host may serve again, however often it was put out; else why not."""
        self.refresh()
        if host not in self.hosts:
            return ""
        return self._save({known: None for known in self.hosts if known != host}, host)

    def _save(self, hosts: dict[str, None], host: str) -> str:
        data = b"".join(msgspec.json.encode(name) + b"\n" for name in hosts)
        if len(data) > self._max_bytes and len(hosts) > len(self.hosts):
            return "too many hosts are out already"
        try:
            if not swap(self._disk, self._path, data, self._durable):
                return "the disk is full"
        except OSError as error:
            LOG.error("hosts out: %s not kept: %s", host, error)
            return f"not kept: {error}"
        self.hosts = hosts
        LOG.warning("hosts out: %s is %s", host, self._state_text(host))
        self.on_change(host, host in hosts)
        return ""
