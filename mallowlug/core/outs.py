"""Hosts that on-call staff have taken out by hand: kept in the lasting folder before anybody is told yes.

The file is written anew beside the old one and put in its place by one rename, one host's id a line in JSON.
A ban outlasts restarts, upgrades and whatever the list says; only a call back ends it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

import msgspec

from mallowlug.system import Disk, save

LOG = logging.getLogger(__name__)
FILE, SPARE = "out", "out.new"
MOST_BYTES = 2048  # of the file: it shares the folder's budget with the journal
MOST_ID = 128  # characters of a host's id


def read_hosts(data: bytes) -> dict[str, None]:
    """The hosts that a file names; a line that cannot be read is logged, and the others count."""
    found: dict[str, None] = {}
    for line in data.split(b"\n"):
        if not line.strip():
            continue
        try:
            host = msgspec.json.decode(line, type=str)
        except msgspec.MsgspecError as error:
            LOG.error("hosts out: a line that cannot be read was left out: %s", error)
            continue
        if 0 < len(host) <= MOST_ID:
            found[host] = None
        else:
            LOG.error("hosts out: a line that names no host was left out")
    return found


class Outs:
    """Which hosts are out. ``changed`` hears of every change, once it is kept."""

    def __init__(self, folder: Path, disk: Disk) -> None:
        self._path, self._spare, self._disk = folder / FILE, folder / SPARE, disk
        self.changed: Callable[[str, bool], None] = lambda _host, _out: None
        self.hosts = self._read()

    def _read(self) -> dict[str, None]:
        try:
            return read_hosts(self._disk.read(self._path))
        except FileNotFoundError:
            return {}
        except OSError as error:
            LOG.error("hosts out: not read: %s", error)
            return {}

    def put(self, host: str) -> str:
        """Leave a host out; else why not. Twice is once."""
        return "" if host in self.hosts else self._keep({**self.hosts, host: None}, host)

    def back(self, host: str) -> str:
        """A host may serve again, however often it was put out; else why not."""
        if host not in self.hosts:
            return ""
        return self._keep({known: None for known in self.hosts if known != host}, host)

    def _keep(self, hosts: dict[str, None], host: str) -> str:
        data = b"".join(msgspec.json.encode(name) + b"\n" for name in hosts)
        if len(data) > MOST_BYTES and len(hosts) > len(self.hosts):
            return "too many hosts are out already"
        try:
            if not save(self._disk, self._spare, data):
                return "the disk is full"
            self._disk.replace(self._spare, self._path)
        except OSError as error:
            LOG.error("hosts out: %s not kept: %s", host, error)
            return f"not kept: {error}"
        self.hosts = hosts
        LOG.warning("hosts out: %s is %s", host, "out by hand" if host in hosts else "back")
        self.changed(host, host in hosts)
        return ""
