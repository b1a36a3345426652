"""Hosts that on-call staff have taken out by hand: kept in the lasting folder before anybody is told yes.

The file is written anew beside the old one and put in its place by one rename, one host's id a line in JSON.
A ban outlasts restarts, upgrades and whatever the list says; only a call back ends it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

import msgspec

from mallowlug.core.reserved_space import ROOMY
from mallowlug.system import Disk, replace_file

LOG = logging.getLogger(__name__)
FILE = "out"
MOST_ID = 128  # characters of a host's id


def read_hosts(data: bytes) -> tuple[dict[str, None], bool]:
    """The hosts that a file names, and whether all of it could be read; what could not be is logged."""
    found: dict[str, None] = {}
    whole = True
    for line in data.split(b"\n"):
        if not line.strip():
            continue
        try:
            host = msgspec.json.decode(line, type=str)
        except msgspec.MsgspecError as error:
            LOG.error("hosts out: a line that cannot be read was left out: %s", error)
            whole = False
            continue
        if 0 < len(host) <= MOST_ID:
            found[host] = None
        else:
            LOG.error("hosts out: a line that names no host was left out")
            whole = False
    return found, whole


class DisabledHosts:
    """Which hosts are out. ``changed`` hears of every change, once it is kept."""

    def __init__(
        self, folder: Path, disk: Disk, durable: bool = False, *, most_bytes: int = ROOMY.outs
    ) -> None:
        """``most_bytes``: of the file, which shares the folder's budget with the journal."""
        self._most_bytes = most_bytes
        self._path, self._disk, self._durable = folder / FILE, disk, durable
        self.changed: Callable[[str, bool], None] = lambda _host, _out: None
        self.hosts: dict[str, None] = {}
        self.hosts = self._read()

    def _read(self) -> dict[str, None]:
        """What the file says; what it cannot say puts no host back."""
        try:
            found, whole = read_hosts(self._disk.read(self._path))
        except FileNotFoundError:
            return self.hosts
        except OSError as error:
            LOG.error("hosts out: not read: %s", error)
            return self.hosts
        return found if whole else self.hosts | found

    def refresh(self) -> None:
        """Hear what another process of this relay was told."""
        before, self.hosts = self.hosts, self._read()
        for host in before.keys() ^ self.hosts.keys():
            LOG.warning("hosts out: %s is %s, as the other process was told", host, self._how(host))
            self.changed(host, host in self.hosts)

    def _how(self, host: str) -> str:
        return "out by hand" if host in self.hosts else "back"

    def disable(self, host: str) -> str:
        """Leave a host out; else why not. Twice is once."""
        self.refresh()
        return "" if host in self.hosts else self._keep({**self.hosts, host: None}, host)

    def enable(self, host: str) -> str:
        """A host may serve again, however often it was put out; else why not."""
        self.refresh()
        if host not in self.hosts:
            return ""
        return self._keep({known: None for known in self.hosts if known != host}, host)

    def _keep(self, hosts: dict[str, None], host: str) -> str:
        data = b"".join(msgspec.json.encode(name) + b"\n" for name in hosts)
        if len(data) > self._most_bytes and len(hosts) > len(self.hosts):
            return "too many hosts are out already"
        try:
            if not replace_file(self._disk, self._path, data, self._durable):
                return "the disk is full"
        except OSError as error:
            LOG.error("hosts out: %s not kept: %s", host, error)
            return f"not kept: {error}"
        self.hosts = hosts
        LOG.warning("hosts out: %s is %s", host, self._how(host))
        self.changed(host, host in hosts)
        return ""
