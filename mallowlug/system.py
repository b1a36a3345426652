"""The operating system as the relay sees it. This module alone calls it; the root hands it to who needs it.

Monotonic time is not here: it is the event loop's, so timers and measured times can't disagree. Randomness is
the seed's that the platform tells. What stands here can be replaced as a whole, and then nothing of a relay
touches the machine: ``mallowlug/rig/sim`` does so.
"""

from __future__ import annotations

import fcntl
import os
import socket
import struct
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Protocol

APPEND, TRUNCATE = os.O_RDWR | os.O_CREAT | os.O_APPEND, os.O_TRUNC
SO_ATTACH_REUSEPORT_CBPF, BPF_RETURN = 51, 0x06  # Linux, socket(7) and linux/filter.h
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")  # Linux, proc(5)


class Disk(Protocol):
    """Files by path and by descriptor, as POSIX has them; all raise ``OSError``."""

    def read(self, path: Path) -> bytes:
        """A file's whole content."""

    def open(self, path: Path, flags: int) -> int:
        """A descriptor; a file that is made belongs to its owner alone."""

    def write(self, fd: int, data: bytes) -> int:
        """Append; how many bytes were taken, which may be fewer."""

    def truncate(self, fd: int, size: int) -> None:
        """Cut a file off behind so many bytes."""

    def close(self, fd: int) -> None:
        """Let go of a descriptor."""

    def replace(self, source: Path, target: Path) -> None:
        """Put one file in another's place, at once for whoever looks."""

    def unlink(self, path: Path) -> None:
        """Remove a file; one that is not there is no error."""

    def sync(self, fd: int) -> None:
        """What the file holds is safe from the loss of the machine's power."""

    def lock(self, fd: int) -> bool:
        """Lock the file against other descriptors, until this one is closed; False where another has it."""

    def names(self, folder: Path) -> list[str]:
        """What a folder holds."""

    def sync_folder(self, path: Path) -> None:
        """The names in a folder are safe from it."""


class System(Protocol):
    """All that a relay asks of the machine beside its event loop."""

    @property
    def environ(self) -> Mapping[str, str]:
        """The environment's variables."""

    @property
    def disk(self) -> Disk:
        """The files."""

    def wall_ns(self) -> int:
        """Nanoseconds since the epoch, by a clock that may jump."""

    def boot(self) -> str:
        """What names the run of the machine over which its monotonic clock goes on; empty where unknown."""

    def stream(self, family: int) -> socket.socket:
        """A TCP socket that does not block and does not wait for more to send; not connected."""

    def listener(self, address: tuple[str, int], shared: bool = False) -> socket.socket:
        """A TCP socket that is bound and listens; ``OSError`` where the address can't be had.

        ``shared``: other processes may listen there too, if theirs are shared as well.
        """

    def datagram(self, address: tuple[str, int]) -> socket.socket:
        """A UDP socket that is bound and does not block; ``OSError`` where the address can't be had."""

    def steer(self, sock: socket.socket) -> bool:
        """Of two sockets that share an address, the one that listened later gets every new connection."""


def family_of(address: tuple[str, int]) -> int:
    """The family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def write_file(disk: Disk, path: Path, data: bytes, durable: bool = False) -> bool:
    """Write a small file anew; False where a part of it is missing, ``OSError`` where that cannot be.

    ``durable``: what it holds, though not its name, is safe from the loss of the machine's power then.
    """
    fd = disk.open(path, APPEND | TRUNCATE)
    try:
        whole = disk.write(fd, data) == len(data)
        if durable:
            disk.sync(fd)
        return whole
    finally:
        disk.close(fd)


def replace_file(disk: Disk, path: Path, data: bytes, durable: bool = False) -> bool:
    """Put a small file in another's place by one rename, so that nobody finds a part of it.

    False where it could not be written whole, and the old one stands; ``OSError`` where that cannot be.
    """
    temporary = path.with_name(f"{path.name}.new")
    if not write_file(disk, temporary, data, durable):
        return False
    disk.replace(temporary, path)
    if durable:
        disk.sync_folder(path.parent)
    return True


class PosixDisk:
    """The machine's files."""

    write = staticmethod(os.write)
    truncate = staticmethod(os.ftruncate)
    close = staticmethod(os.close)
    replace = staticmethod(os.replace)
    sync = staticmethod(os.fdatasync)

    @staticmethod
    def read(path: Path) -> bytes:
        """A file's whole content."""
        return path.read_bytes()

    @staticmethod
    def open(path: Path, flags: int) -> int:
        """A descriptor; a file that is made belongs to its owner alone."""
        return os.open(path, flags, 0o600)

    @staticmethod
    def unlink(path: Path) -> None:
        """Remove a file; one that is not there is no error."""
        path.unlink(missing_ok=True)

    @staticmethod
    def lock(fd: int) -> bool:
        """Lock the file; False where another descriptor has it."""
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    @staticmethod
    def names(folder: Path) -> list[str]:
        """What a folder holds."""
        return os.listdir(folder)

    @staticmethod
    def sync_folder(path: Path) -> None:
        """The names in a folder are safe from the loss of the machine's power."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


class Posix:
    """The machine that the process runs on."""

    environ: Mapping[str, str] = os.environ
    disk: Disk = PosixDisk()
    wall_ns = staticmethod(time.time_ns)

    @staticmethod
    def boot() -> str:
        """What names the run of the machine over which its monotonic clock goes on; empty where unknown."""
        try:
            return BOOT_ID_FILE.read_text(encoding="ascii").strip()
        except (OSError, ValueError):
            return ""

    @staticmethod
    def stream(family: int) -> socket.socket:
        """A TCP socket that does not block and does not wait for more to send; not connected."""
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    @staticmethod
    def listener(address: tuple[str, int], shared: bool = False) -> socket.socket:
        """A TCP socket that is bound and listens; ``OSError`` where the address can't be had."""
        return socket.create_server(address, family=family_of(address), reuse_port=shared)

    @staticmethod
    def datagram(address: tuple[str, int]) -> socket.socket:
        """A UDP socket that is bound and does not block; ``OSError`` where the address can't be had."""
        sock = socket.socket(family_of(address), socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        return sock

    @staticmethod
    def steer(sock: socket.socket) -> bool:
        """A filter for the sockets of one address that names the second; without one, any is drawn."""
        import ctypes  # noqa: PLC0415  # takes memory, and is needed only in an upgrade

        program = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 1))
        filter_program = struct.pack("HxxxxxxP", 1, ctypes.addressof(program))
        try:
            sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, filter_program)
        except OSError:
            return False
        return True


POSIX = Posix()
