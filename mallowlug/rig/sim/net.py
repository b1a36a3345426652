"""The simulated kernel's network: TCP as a socket's owner sees it, and never what TCP can't do.

Bytes of one direction arrive in order, once, whole, at whatever boundaries; they may be late, stop for a
while or end by a reset. From the sockets' manual pages and RFC 9293: a connection closed with unread bytes,
or with a linger time of zero, is reset; what came before a reset may still be read; bytes for a closed
socket are answered with a reset; a connect to where nobody listens is refused, and one whose answer is lost
goes on asking.
"""

from __future__ import annotations

import errno
import os
import random
import selectors
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from mallowlug.rig.sim.loop import LIFE, Killed, Life, SimLoop

Address = tuple[str, int]
WINDOW = 128 * 1024  # bytes on their way or unread, after which a sender waits
MOST_QUEUED = 256  # datagrams that a socket holds unread
AGAIN_S = 1.0  # s after which a lost request to connect is sent again


@dataclass(slots=True)
class Link:
    """How one direction between two sockets carries bytes. Times in seconds; ``piece``: 0 for as sent."""

    latency_s: float = 0.0001
    jitter_s: float = 0.0
    bytes_per_s: float = 0.0  # 0: no bound
    piece: int = 0  # bytes at most between two segment boundaries, drawn anew for each


@dataclass(slots=True)
class Faults:
    """What befalls each datagram: the chances that it is lost or doubled, and by how much it may be late."""

    loss: float = 0.0
    doubled: float = 0.0
    late_s: float = 0.0


@dataclass(slots=True)
class Weather:
    """What befalls links: who can't reach whom now, and what was on its way meanwhile."""

    cut: dict[tuple[str, str], None] = field(default_factory=dict)  # pairs of places, one direction each
    waiting: list[tuple[tuple[str, str], Callable[[], None]]] = field(default_factory=list)


class SimSocket:
    """A stream socket that does not block, as asyncio and the relay use one."""

    family, type, proto = socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP

    def __init__(self, net: Network, owner: Life | None) -> None:
        self.net, self.owner, self._fd = net, owner, net.descriptor()
        self.state = "fresh"  # connecting, open, listening, failed or closed
        self.here: Address = ("0.0.0.0", 0)
        self.there: Address = ("0.0.0.0", 0)
        self.place = owner.name if owner is not None else ""  # of links and partitions
        self.peer: SimSocket | None = None
        self.link = Link()  # towards the peer
        self.inbox = bytearray()
        self.arrived_s = 0.0  # when the last bytes towards the peer arrive
        self.under_way = 0  # bytes that the peer has not read
        self.ended = self.shut = self.linger = False  # the peer's end has come; ours is said; close by reset
        self.error = 0
        self.backlog: deque[SimSocket] = deque()
        self.shared = False  # others may listen at its address too
        self.most_backlog = 128
        if owner is not None:
            owner.sockets[self._fd] = self
        net.loop.selector.opened(self)

    def fileno(self) -> int:
        """The descriptor; -1 once closed."""
        return self._fd if self.state != "closed" else -1

    def setblocking(self, flag: bool) -> None:
        """Sockets here never block."""
        assert not flag

    def gettimeout(self) -> float:
        """As of a socket that does not block."""
        return 0.0

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Of all options only a linger time of zero changes anything here."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.linger = True

    def getsockopt(self, level: int, option: int) -> int:
        """The pending error, which is then no longer pending; 0 for all else."""
        if (level, option) != (socket.SOL_SOCKET, socket.SO_ERROR):
            return 0
        error, self.error = self.error, 0
        return error

    def getsockname(self) -> Address:
        """The own address."""
        return self.here

    def getpeername(self) -> Address:
        """The peer's address."""
        if self.peer is None:
            raise failure(errno.ENOTCONN)
        return self.there

    def ready(self) -> int:
        """What a selector would tell of it now."""
        if self.state == "listening":
            return selectors.EVENT_READ if self.backlog else 0
        if self.state == "failed":
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        if self.state != "open":
            return 0
        mask = selectors.EVENT_READ if self.inbox or self.ended or self.error else 0
        if self.under_way < WINDOW or self.error or self.shut:
            mask |= selectors.EVENT_WRITE
        return mask

    def touched(self) -> None:
        """Its state has changed."""
        self.net.loop.selector.touch(self._fd)

    def _enter(self, call: str, data: bytes = b"") -> str:
        return "" if self.owner is None else self.owner.begin(call, data)

    def _leave(self, how: str) -> None:
        if self.owner is not None:
            self.owner.leave(how)

    def listen(self, backlog: int = 128) -> None:
        """Take connections on from now on."""
        self.state, self.most_backlog = "listening", backlog

    def accept(self) -> tuple[SimSocket, Address]:
        """The connection that has waited longest."""
        if not self.backlog:
            raise failure(errno.EAGAIN)
        self.net.room_for(self.owner)
        conn = self.backlog.popleft()
        if self.owner is not None:
            self.owner.sockets[conn._fd] = conn
        return conn, conn.there

    def connect(self, address: Address) -> None:
        """Begin to connect; how it went shows once the socket is writable."""
        how = self._enter("connect")
        self.state, self.there = "connecting", address
        self.here = self.net.ephemeral()
        self.net.dial(self, address)
        self._leave(how)
        raise failure(errno.EINPROGRESS)

    def send(self, data: bytes | bytearray | memoryview) -> int:
        """Hand bytes to the kernel; how many it took."""
        if self.state != "open":
            raise failure(errno.EBADF if self.state == "closed" else errno.ENOTCONN)
        if self.error:
            error, self.error, self.ended = self.error, 0, True
            self.shut = True
            raise failure(error)
        if self.shut:
            raise failure(errno.EPIPE)
        if self.under_way >= WINDOW:
            raise failure(errno.EAGAIN)
        taken = bytes(data[: WINDOW - self.under_way])
        how = self._enter("send", taken)
        if how == "within":
            taken = taken[: len(taken) // 2]
        self.under_way += len(taken)
        self.net.carry(self, taken)
        self._leave(how)
        return len(taken)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Bytes that have come; none for the peer's end."""
        if self.owner is not None and not self.owner.alive:
            raise Killed
        if self.state != "open":
            raise failure(errno.EBADF if self.state == "closed" else errno.ENOTCONN)
        if self.inbox:
            data = bytes(self.inbox[:size])
            if not flags & socket.MSG_PEEK:
                del self.inbox[:size]
                if self.peer is not None:
                    self.peer.under_way -= len(data)
                    self.peer.touched()
            return data
        if self.error:
            error, self.error, self.ended, self.shut = self.error, 0, True, True
            raise failure(error)
        if self.ended:
            return b""
        raise failure(errno.EAGAIN)

    def recv_into(self, buffer: memoryview | bytearray) -> int:
        """As ``recv``, into a buffer."""
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def shutdown(self, how: int) -> None:
        """Say that nothing more is sent."""
        if how != socket.SHUT_RD and not self.shut:
            self.shut = True
            self.net.finish(self)

    def close(self) -> None:
        """Let go of it; a dead life's sockets are the kernel's affair."""
        if self.state == "closed" or (self.owner is not None and not self.owner.alive):
            return
        self.drop()

    def drop(self) -> None:
        """What the kernel does at a close, also of what a process leaves behind at its end."""
        if self.state == "closed":
            return
        state, self.state = self.state, "closed"
        self.net.loop.selector.closed(self._fd)
        if self.owner is not None:
            self.owner.sockets.pop(self._fd, None)
        if state == "listening":
            self.net.unlisten(self)
            for conn in self.backlog:
                conn.linger = True
                conn.drop()
        elif state == "open" and self.peer is not None and not self.error:
            if self.linger or self.inbox:
                self.net.reset(self)
            elif not self.shut:
                self.net.finish(self)
        self.inbox.clear()


class SimDatagram(SimSocket):
    """A bound UDP socket. What is sent may be lost, late, doubled and out of order; nobody is told."""

    type, proto = socket.SOCK_DGRAM, socket.IPPROTO_UDP

    def __init__(self, net: Network, owner: Life | None, here: Address) -> None:
        super().__init__(net, owner)
        self.here, self.state = here, "bound"
        self.queue: deque[tuple[bytes, Address]] = deque()

    def ready(self) -> int:
        """As of a socket whose sends never wait."""
        if self.state != "bound":
            return 0
        return selectors.EVENT_WRITE | (selectors.EVENT_READ if self.queue else 0)

    def recvfrom(self, size: int) -> tuple[bytes, Address]:
        """The datagram that has waited longest."""
        if self.owner is not None and not self.owner.alive:
            raise Killed
        if not self.queue:
            raise failure(errno.EAGAIN)
        data, source = self.queue.popleft()
        return data[:size], source

    def sendto(self, data: bytes, address: Address) -> int:
        """One datagram on its way."""
        if self.state != "bound":
            raise failure(errno.EBADF)
        how = self._enter("sendto", bytes(data))
        self.net.cast(self, bytes(data), address)
        self._leave(how)
        return len(data)

    def drop(self) -> None:
        """Its address is free again; what was not read is gone."""
        if self.state == "bound":
            self.net.unbind(self)
        super().drop()
        self.queue.clear()


def failure(number: int) -> OSError:
    """The error that a system call ends with."""
    return OSError(number, os.strerror(number))


class Network:
    """All sockets of a world and what is on its way between them."""

    def __init__(self, loop: SimLoop, rng: random.Random) -> None:
        self.loop, self.rng, self.weather = loop, rng, Weather()
        self.links: Callable[[], Link] = Link  # a new connection's, each direction of its own
        self.dialled: Callable[[str, Address], None] = lambda _place, _address: None  # of every connect
        self.most_sockets: Callable[[Life], int] = lambda _life: 1 << 20
        self._listeners: dict[Address, list[SimSocket]] = {}  # several where all of them share the address
        self._bound: dict[Address, SimDatagram] = {}
        self.faults = Faults()
        self._steered: set[Address] = set()  # where the second of them gets every new connection
        self._descriptors, self._port, self._address = 100, 32768, 0

    def descriptor(self) -> int:
        """A descriptor that nobody had before."""
        self._descriptors += 1
        return self._descriptors

    def ephemeral(self) -> Address:
        """The own address of a connection that is made from here."""
        self._port += 1
        return "127.0.0.1", 32768 + self._port % 28000

    def address(self) -> Address:
        """A loopback address that nobody else has."""
        self._address += 1
        return f"127.1.{self._address // 250}.{1 + self._address % 250}", 7000

    def room_for(self, owner: Life | None) -> None:
        """``EMFILE`` where a life has all the descriptors that it may have."""
        if owner is not None and len(owner.sockets) >= self.most_sockets(owner):
            raise failure(errno.EMFILE)

    def stream(self, family: int = socket.AF_INET) -> SimSocket:
        """A socket that is not connected, of the life that asks."""
        owner = LIFE.get()
        if owner is not None and not owner.alive:
            raise Killed
        self.room_for(owner)
        sock = SimSocket(self, owner)
        sock.family = socket.AddressFamily(family)
        return sock

    def listener(self, address: Address, shared: bool = False) -> SimSocket:
        """A socket that listens at an address."""
        there = self._listeners.get(address, [])
        if there and not (shared and all(sock.shared for sock in there)):
            raise failure(errno.EADDRINUSE)
        sock = self.stream()
        sock.here, sock.shared = address, shared
        sock.listen()
        self._listeners.setdefault(address, []).append(sock)
        return sock

    def datagram(self, address: Address) -> SimDatagram:
        """A UDP socket that is bound to an address."""
        owner = LIFE.get()
        if owner is not None and not owner.alive:
            raise Killed
        self.room_for(owner)
        if address in self._bound:
            raise failure(errno.EADDRINUSE)
        sock = self._bound[address] = SimDatagram(self, owner, address)
        return sock

    def unbind(self, sock: SimDatagram) -> None:
        """Nobody gets what is sent there."""
        self._bound.pop(sock.here, None)

    def cast(self, sock: SimDatagram, data: bytes, address: Address) -> None:
        """A datagram goes to an address; a cut way loses it, as nobody sends it again."""
        faults, link = self.faults, self.links()
        for _ in range(1 + (self.rng.random() < faults.doubled)):
            if self.rng.random() < faults.loss:
                continue
            at_s = self._later(link, len(data)) + self.rng.random() * faults.late_s
            self.loop.at(at_s, lambda: self._cast(sock.place, sock.here, data, address))

    def _cast(self, place: str, source: Address, data: bytes, address: Address) -> None:
        target = self._bound.get(address)
        if target is None:
            return
        ways = {(place, ""), ("", target.place), (place, target.place)}
        if not ways & self.weather.cut.keys() and len(target.queue) < MOST_QUEUED:
            target.queue.append((data, source))
            target.touched()

    def unlisten(self, sock: SimSocket) -> None:
        """It listens no more; as in Linux, the last of a group takes its place in it."""
        there = self._listeners.get(sock.here, [])
        if sock in there:
            there[there.index(sock)] = there[-1]
            there.pop()
        if not there:
            self._listeners.pop(sock.here, None)
            self._steered.discard(sock.here)

    def steer(self, sock: SimSocket) -> None:
        """The second socket of the group gets every new connection; where there is none, any is drawn."""
        self._steered.add(sock.here)

    def _listener(self, address: Address) -> SimSocket | None:
        """Who gets a new connection there."""
        there = self._listeners.get(address, [])
        if len(there) < 2:
            return there[0] if there else None
        return there[1] if address in self._steered else self.rng.choice(there)

    def _reach(self, pair: tuple[str, str], arrive: Callable[[], None]) -> None:
        """Let something arrive now, or once its way is no longer cut."""
        if pair in self.weather.cut:
            self.weather.waiting.append((pair, arrive))
        else:
            arrive()

    def part(self, one: str, other: str) -> None:
        """Nothing passes from one place to another (either may be "" for the world) until ``heal``."""
        self.weather.cut[one, other] = None

    def heal(self, one: str, other: str) -> None:
        """What was on its way arrives, as its senders have gone on sending it."""
        self.weather.cut.pop((one, other), None)
        due, self.weather.waiting = self.weather.waiting, []
        for pair, arrive in due:
            self._reach(pair, arrive)

    def _later(self, link: Link, size: int, not_before_s: float = 0.0) -> float:
        takes_s = link.latency_s + (self.rng.random() * link.jitter_s if link.jitter_s else 0.0)
        if link.bytes_per_s:
            takes_s += size / link.bytes_per_s
        return max(not_before_s, self.loop.now_s + takes_s)

    def dial(self, sock: SimSocket, address: Address) -> None:
        """A request to connect is on its way."""
        sock.link = self.links()
        self.dialled(sock.place, address)

        def arrive() -> None:
            if sock.state != "connecting":
                return
            listener = self._listener(address)
            if listener is None:
                self.loop.at(self._later(sock.link, 0), lambda: self._refused(sock))
            elif len(listener.backlog) >= listener.most_backlog:
                self.loop.at(self.loop.now_s + AGAIN_S, arrive)
            else:
                self._accepted(sock, listener)

        pair = sock.place, self._place(address)
        self.loop.at(self._later(sock.link, 0), lambda: self._reach(pair, arrive))

    def _place(self, address: Address) -> str:
        there = self._listeners.get(address)
        return there[0].place if there else ""

    def _refused(self, sock: SimSocket) -> None:
        if sock.state == "connecting":
            sock.state, sock.error = "failed", errno.ECONNREFUSED
            sock.touched()

    def _accepted(self, sock: SimSocket, listener: SimSocket) -> None:
        conn = SimSocket(self, listener.owner)
        if listener.owner is not None:  # its descriptor is taken when it is accepted
            listener.owner.sockets.pop(conn._fd, None)
        conn.state, conn.here, conn.there, conn.peer = "open", sock.there, sock.here, sock
        conn.place, conn.link = listener.place, self.links()
        listener.backlog.append(conn)
        listener.touched()

        def established() -> None:
            if sock.state != "connecting":  # given up meanwhile
                self.reset(sock, conn)
                return
            sock.state, sock.peer = "open", conn
            sock.touched()

        conn.arrived_s = self._later(conn.link, 0)
        self.loop.at(conn.arrived_s, lambda: self._reach((conn.place, sock.place), established))

    def carry(self, sock: SimSocket, data: bytes) -> None:
        """Bytes are on their way to the peer, in pieces."""
        peer, link = sock.peer, sock.link
        assert peer is not None
        pair, at = (sock.place, peer.place), 0
        while at < len(data):
            size = min(len(data) - at, 1 + self.rng.randrange(link.piece) if link.piece else len(data))
            sock.arrived_s = self._later(link, size, sock.arrived_s)
            come = partial(self._come, sock, data[at : at + size])
            self.loop.at(sock.arrived_s, partial(self._reach, pair, come))
            at += size

    def _come(self, sock: SimSocket, piece: bytes) -> None:
        peer = sock.peer
        assert peer is not None
        if peer.state != "open":
            self.reset(peer, sock)
            return
        if not peer.error:
            peer.inbox += piece
            peer.touched()

    def finish(self, sock: SimSocket) -> None:
        """Our end is on its way, behind all that was sent."""
        peer = sock.peer
        if peer is None:
            return

        def arrive() -> None:
            peer.ended = True
            peer.touched()

        sock.arrived_s = self._later(sock.link, 0, sock.arrived_s)
        self.loop.at(sock.arrived_s, lambda: self._reach((sock.place, peer.place), arrive))

    def reset(self, sock: SimSocket, target: SimSocket | None = None) -> None:
        """A reset is on its way to the peer, behind what was sent."""
        peer = target or sock.peer
        if peer is None:
            return

        def arrive() -> None:
            if peer.state == "open" and not peer.error:
                peer.error = errno.ECONNRESET
                peer.touched()

        sock.arrived_s = self._later(sock.link, 0, sock.arrived_s)
        self.loop.at(sock.arrived_s, lambda: self._reach((sock.place, peer.place), arrive))

    def vanish(self, life: Life) -> None:
        """A life has ended: the kernel closes what it held; unread bytes make that a reset."""
        for sock in list(life.sockets.values()):
            sock.drop()

    def silence(self, life: Life) -> None:
        """A machine is gone with its kernel: nobody hears of it."""
        for sock in list(life.sockets.values()):
            sock.peer, sock.linger = None, False
            sock.drop()
