"""The relay's interface to the operating system.

Only this module calls the operating system; the composition root passes ``System`` to the modules that need
it. Monotonic time is taken from the event loop, so that timers and measured times cannot disagree, and
randomness from the seed in the configuration. With another ``System`` a relay does not touch the machine at
all: ``mallowlug/rig/sim`` runs relays that way.
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
    """File operations by path and by descriptor with POSIX semantics; all raise ``OSError``."""

    def read(self, path: Path) -> bytes:
        """Return the whole content of a file."""

    def open(self, path: Path, flags: int) -> int:
        """Return a descriptor; a new file can be read and written by its owner only."""

    def write(self, fd: int, data: bytes) -> int:
        """Append data; return how many bytes were written, which may be fewer."""

    def truncate(self, fd: int, size: int) -> None:
        """Truncate a file to ``size`` bytes."""

    def close(self, fd: int) -> None:
        """Close a descriptor."""

    def replace(self, source: Path, target: Path) -> None:
        """Rename ``source`` to ``target`` atomically, replacing it."""

    def unlink(self, path: Path) -> None:
        """Remove a file; a missing one is no error."""

    def sync(self, fd: int) -> None:
        """Flush a file's content to the disk, so that it survives a power loss."""

    def lock(self, fd: int) -> bool:
        """Try to lock a file until the descriptor is closed; False if another descriptor holds the lock."""

    def names(self, folder: Path) -> list[str]:
        """Return the names in a folder."""

    def sync_folder(self, path: Path) -> None:
        """Flush a folder's entries to the disk, so that they survive a power loss."""


class System(Protocol):
    """All that a relay needs of the machine beside its event loop."""

    @property
    def environ(self) -> Mapping[str, str]:
        """The environment variables."""

    @property
    def disk(self) -> Disk:
        """The file operations."""

    def wall_ns(self) -> int:
        """Return the wall time in nanoseconds since the epoch; it may jump."""

    def boot(self) -> str:
        """Return the id of the machine's boot, within which the monotonic clock goes on; "" if unknown."""

    def stream(self, family: int) -> socket.socket:
        """Return an unconnected, non-blocking TCP socket with ``TCP_NODELAY``."""

    def listener(self, address: tuple[str, int], shared: bool = False) -> socket.socket:
        """Return a listening TCP socket; raises ``OSError`` if the address is not available.

        ``shared`` allows other processes to listen at the same address, if theirs are shared as well.
        """

    def datagram(self, address: tuple[str, int]) -> socket.socket:
        """Return a bound, non-blocking UDP socket; raises ``OSError`` if the address is not available."""

    def steer(self, sock: socket.socket) -> bool:
        """Direct all new connections to the later one of two listeners that share an address.

        Return False if the kernel refuses.
        """


def family_of(address: tuple[str, int]) -> int:
    """Return the address family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def write_file(disk: Disk, path: Path, data: bytes, durable: bool = False) -> bool:
    """Overwrite a small file; return False if it was written only in part. Raises ``OSError``.

    ``durable`` syncs the content, but not the folder entry, so that it survives a power loss.
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
    """Replace a small file atomically by a rename, so that no reader sees a part of it.

    Return False, and keep the old file, if the new one could not be written whole. Raises ``OSError``.
    ``durable`` makes the new file and its name survive a power loss.
    """
    temporary = path.with_name(f"{path.name}.new")
    if not write_file(disk, temporary, data, durable):
        return False
    disk.replace(temporary, path)
    if durable:
        disk.sync_folder(path.parent)
    return True


class PosixDisk:
    """The file operations of the machine."""

    write = staticmethod(os.write)
    truncate = staticmethod(os.ftruncate)
    close = staticmethod(os.close)
    replace = staticmethod(os.replace)
    sync = staticmethod(os.fdatasync)

    @staticmethod
    def read(path: Path) -> bytes:
        """Return the whole content of a file."""
        return path.read_bytes()

    @staticmethod
    def open(path: Path, flags: int) -> int:
        """Return a descriptor; a new file can be read and written by its owner only."""
        return os.open(path, flags, 0o600)

    @staticmethod
    def unlink(path: Path) -> None:
        """Remove a file; a missing one is no error."""
        path.unlink(missing_ok=True)

    @staticmethod
    def lock(fd: int) -> bool:
        """Try to lock a file; False if another descriptor holds the lock."""
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    @staticmethod
    def names(folder: Path) -> list[str]:
        """Return the names in a folder."""
        return os.listdir(folder)

    @staticmethod
    def sync_folder(path: Path) -> None:
        """Flush a folder's entries to the disk, so that they survive a power loss."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


class Posix:
    """The machine on which the process runs."""

    environ: Mapping[str, str] = os.environ
    disk: Disk = PosixDisk()
    wall_ns = staticmethod(time.time_ns)

    @staticmethod
    def boot() -> str:
        """Return the id of the machine's boot, within which the monotonic clock goes on; "" if unknown."""
        try:
            return BOOT_ID_FILE.read_text(encoding="ascii").strip()
        except (OSError, ValueError):
            return ""

    @staticmethod
    def stream(family: int) -> socket.socket:
        """Return an unconnected, non-blocking TCP socket with ``TCP_NODELAY``."""
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    @staticmethod
    def listener(address: tuple[str, int], shared: bool = False) -> socket.socket:
        """Return a listening TCP socket; raises ``OSError`` if the address is not available."""
        return socket.create_server(address, family=family_of(address), reuse_port=shared)

    @staticmethod
    def datagram(address: tuple[str, int]) -> socket.socket:
        """Return a bound, non-blocking UDP socket; raises ``OSError`` if the address is not available."""
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
        """Attach a BPF filter that always selects the second socket; without one the kernel picks any."""
        import ctypes  # noqa: PLC0415  # takes memory and is needed only in an upgrade

        program = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 1))
        filter_program = struct.pack("HxxxxxxP", 1, ctypes.addressof(program))
        try:
            sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, filter_program)
        except OSError:
            return False
        return True


POSIX = Posix()
