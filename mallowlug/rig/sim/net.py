"""The simulated network: stream and datagram sockets that behave only in ways that TCP and UDP allow.

The bytes of one direction arrive in order, once and complete, split at arbitrary boundaries; they may be
late, pause for a while or end by a reset. From the sockets' manual pages and RFC 9293: a connection closed
with unread bytes, or with a linger time of zero, is reset; bytes received before a reset may still be read;
bytes for a closed socket are answered by a reset; a connect to an address without a listener is refused, and
a connect whose answer is lost is retried.
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

from mallowlug.rig.sim.loop import CURRENT_LIFETIME, Killed, Lifetime, SimLoop

Address = tuple[str, int]
WINDOW = 128 * 1024  # bytes in flight or unread at which a sender blocks
MAX_QUEUED_DATAGRAMS = 256  # unread datagrams per socket; more are dropped
CONNECT_RETRY_S = 1.0  # s until a connection request lost to a full backlog is sent again


@dataclass(slots=True)
class Link:
    """Latency and throughput of one direction between two sockets; times in seconds."""

    latency_s: float = 0.0001
    jitter_s: float = 0.0
    bytes_per_s: float = 0.0  # 0: unlimited
    max_segment: int = 0  # max bytes per segment, each size drawn at random; 0: segments as sent


@dataclass(slots=True)
class DatagramFaults:
    """Faults of each datagram: probabilities of loss and duplication, and the max additional delay."""

    loss: float = 0.0
    duplication: float = 0.0
    max_delay_s: float = 0.0


@dataclass(slots=True)
class LinkState:
    """Partitions between nodes, and what they hold back."""

    blocked: dict[tuple[str, str], None] = field(default_factory=dict)  # (from, to) pairs of nodes
    held_back: list[tuple[tuple[str, str], Callable[[], None]]] = field(default_factory=list)


class SimSocket:
    """A non-blocking stream socket with the methods that asyncio and the relay use."""

    family, type, proto = socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP

    def __init__(self, net: Network, owner: Lifetime | None) -> None:
        self.net, self.owner, self._fd = net, owner, net.descriptor()
        self.state = "fresh"  # connecting, open, listening, failed or closed
        self.local_address: Address = ("0.0.0.0", 0)
        self.remote_address: Address = ("0.0.0.0", 0)
        self.node = owner.name if owner is not None else ""  # name in partitions; "" for the environment
        self.peer: SimSocket | None = None
        self.link = Link()  # direction to the peer
        self.inbox = bytearray()
        self.last_arrival_s = 0.0  # when the last bytes sent reach the peer
        self.in_flight = 0  # bytes sent that the peer has not read
        self.peer_closed = self.write_shutdown = self.reset_on_close = False
        self.error = 0
        self.backlog: deque[SimSocket] = deque()
        self.reuse_port = False  # SO_REUSEPORT: other sockets may listen at this address
        self.max_backlog = 128
        if owner is not None:
            owner.sockets[self._fd] = self
        net.loop.selector.add_socket(self)

    def fileno(self) -> int:
        """The descriptor; -1 once closed."""
        return self._fd if self.state != "closed" else -1

    def setblocking(self, flag: bool) -> None:
        """Accept only the non-blocking mode."""
        assert not flag

    def gettimeout(self) -> float:
        """The timeout of a non-blocking socket."""
        return 0.0

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Apply SO_LINGER (with a linger time of zero); all other options have no effect."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.reset_on_close = True

    def getsockopt(self, level: int, option: int) -> int:
        """Return and clear the pending error for SO_ERROR; 0 for all other options."""
        if (level, option) != (socket.SOL_SOCKET, socket.SO_ERROR):
            return 0
        error, self.error = self.error, 0
        return error

    def getsockname(self) -> Address:
        """The local address."""
        return self.local_address

    def getpeername(self) -> Address:
        """The peer's address."""
        if self.peer is None:
            raise os_error(errno.ENOTCONN)
        return self.remote_address

    def ready(self) -> int:
        """The selector events that are ready now."""
        if self.state == "listening":
            return selectors.EVENT_READ if self.backlog else 0
        if self.state == "failed":
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        if self.state != "open":
            return 0
        mask = selectors.EVENT_READ if self.inbox or self.peer_closed or self.error else 0
        if self.in_flight < WINDOW or self.error or self.write_shutdown:
            mask |= selectors.EVENT_WRITE
        return mask

    def notify_selector(self) -> None:
        """Tell the selector that the state has changed."""
        self.net.loop.selector.mark_changed(self._fd)

    def _begin_call(self, call: str, data: bytes = b"") -> str:
        return "" if self.owner is None else self.owner.begin_call(call, data)

    def _end_call(self, outcome: str) -> None:
        if self.owner is not None:
            self.owner.end_call(outcome)

    def listen(self, backlog: int = 128) -> None:
        """Start to listen."""
        self.state, self.max_backlog = "listening", backlog

    def accept(self) -> tuple[SimSocket, Address]:
        """Return the oldest connection of the backlog."""
        if not self.backlog:
            raise os_error(errno.EAGAIN)
        self.net.check_descriptor_limit(self.owner)
        conn = self.backlog.popleft()
        if self.owner is not None:
            self.owner.sockets[conn._fd] = conn
        return conn, conn.remote_address

    def connect(self, address: Address) -> None:
        """Start to connect; the socket becomes writable when the result is known."""
        outcome = self._begin_call("connect")
        self.state, self.remote_address = "connecting", address
        self.local_address = self.net.ephemeral_address()
        self.net.start_connect(self, address)
        self._end_call(outcome)
        raise os_error(errno.EINPROGRESS)

    def send(self, data: bytes | bytearray | memoryview) -> int:
        """Send bytes; return how many the kernel accepted."""
        if self.state != "open":
            raise os_error(errno.EBADF if self.state == "closed" else errno.ENOTCONN)
        if self.error:
            error, self.error, self.peer_closed = self.error, 0, True
            self.write_shutdown = True
            raise os_error(error)
        if self.write_shutdown:
            raise os_error(errno.EPIPE)
        if self.in_flight >= WINDOW:
            raise os_error(errno.EAGAIN)
        accepted = bytes(data[: WINDOW - self.in_flight])
        outcome = self._begin_call("send", accepted)
        if outcome == "within":
            accepted = accepted[: len(accepted) // 2]
        self.in_flight += len(accepted)
        self.net.send_bytes(self, accepted)
        self._end_call(outcome)
        return len(accepted)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return received bytes; none once the peer has closed its side."""
        if self.owner is not None and not self.owner.alive:
            raise Killed
        if self.state != "open":
            raise os_error(errno.EBADF if self.state == "closed" else errno.ENOTCONN)
        if self.inbox:
            data = bytes(self.inbox[:size])
            if not flags & socket.MSG_PEEK:
                del self.inbox[:size]
                if self.peer is not None:
                    self.peer.in_flight -= len(data)
                    self.peer.notify_selector()
            return data
        if self.error:
            error, self.error, self.peer_closed, self.write_shutdown = self.error, 0, True, True
            raise os_error(error)
        if self.peer_closed:
            return b""
        raise os_error(errno.EAGAIN)

    def recv_into(self, buffer: memoryview | bytearray) -> int:
        """As ``recv``, into a buffer."""
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def shutdown(self, how: int) -> None:
        """Close the sending side."""
        if how != socket.SHUT_RD and not self.write_shutdown:
            self.write_shutdown = True
            self.net.send_fin(self)

    def close(self) -> None:
        """Close the socket; after the death of its process this does nothing, as the kernel closes it."""
        if self.state == "closed" or (self.owner is not None and not self.owner.alive):
            return
        self.release()

    def release(self) -> None:
        """Close the socket in the kernel, also for a process that has ended."""
        if self.state == "closed":
            return
        state, self.state = self.state, "closed"
        self.net.loop.selector.remove_socket(self._fd)
        if self.owner is not None:
            self.owner.sockets.pop(self._fd, None)
        if state == "listening":
            self.net.remove_listener(self)
            for conn in self.backlog:
                conn.reset_on_close = True
                conn.release()
        elif state == "open" and self.peer is not None and not self.error:
            if self.reset_on_close or self.inbox:
                self.net.send_reset(self)
            elif not self.write_shutdown:
                self.net.send_fin(self)
        self.inbox.clear()


class SimDatagram(SimSocket):
    """A bound UDP socket: datagrams may be lost, delayed, duplicated or reordered, without an error."""

    type, proto = socket.SOCK_DGRAM, socket.IPPROTO_UDP

    def __init__(self, net: Network, owner: Lifetime | None, local_address: Address) -> None:
        super().__init__(net, owner)
        self.local_address, self.state = local_address, "bound"
        self.queue: deque[tuple[bytes, Address]] = deque()

    def ready(self) -> int:
        """The ready selector events; always writable."""
        if self.state != "bound":
            return 0
        return selectors.EVENT_WRITE | (selectors.EVENT_READ if self.queue else 0)

    def recvfrom(self, size: int) -> tuple[bytes, Address]:
        """Return the oldest unread datagram and its source."""
        if self.owner is not None and not self.owner.alive:
            raise Killed
        if not self.queue:
            raise os_error(errno.EAGAIN)
        data, source = self.queue.popleft()
        return data[:size], source

    def sendto(self, data: bytes, address: Address) -> int:
        """Send a datagram."""
        if self.state != "bound":
            raise os_error(errno.EBADF)
        outcome = self._begin_call("sendto", bytes(data))
        self.net.send_datagram(self, bytes(data), address)
        self._end_call(outcome)
        return len(data)

    def release(self) -> None:
        """Free the address and discard unread datagrams."""
        if self.state == "bound":
            self.net.unbind(self)
        super().release()
        self.queue.clear()


def os_error(number: int) -> OSError:
    """The exception of a failed system call."""
    return OSError(number, os.strerror(number))


class Network:
    """All sockets of a simulated environment and the data in flight between them."""

    def __init__(self, loop: SimLoop, rng: random.Random) -> None:
        self.loop, self.rng, self.link_state = loop, rng, LinkState()
        self.new_link: Callable[[], Link] = Link  # creates the link of each direction of a connection
        self.on_connect: Callable[[str, Address], None] = lambda _node, _address: None
        self.max_sockets: Callable[[Lifetime], int] = lambda _lifetime: 1 << 20
        self._listeners: dict[Address, list[SimSocket]] = {}  # several if all reuse the port
        self._bound_datagrams: dict[Address, SimDatagram] = {}
        self.faults = DatagramFaults()
        self._steered_addresses: set[Address] = set()  # the second listener gets all new connections
        self._descriptors, self._port, self._address = 100, 32768, 0

    def descriptor(self) -> int:
        """Return a descriptor that was never used before."""
        self._descriptors += 1
        return self._descriptors

    def ephemeral_address(self) -> Address:
        """Return a local address for an outgoing connection."""
        self._port += 1
        return "127.0.0.1", 32768 + self._port % 28000

    def allocate_address(self) -> Address:
        """Return an unused loopback address."""
        self._address += 1
        return f"127.1.{self._address // 250}.{1 + self._address % 250}", 7000

    def check_descriptor_limit(self, owner: Lifetime | None) -> None:
        """Raise ``EMFILE`` if the process has reached its descriptor limit."""
        if owner is not None and len(owner.sockets) >= self.max_sockets(owner):
            raise os_error(errno.EMFILE)

    def stream(self, family: int = socket.AF_INET) -> SimSocket:
        """Create an unconnected socket of the current process."""
        owner = CURRENT_LIFETIME.get()
        if owner is not None and not owner.alive:
            raise Killed
        self.check_descriptor_limit(owner)
        sock = SimSocket(self, owner)
        sock.family = socket.AddressFamily(family)
        return sock

    def listener(self, address: Address, reuse_port: bool = False) -> SimSocket:
        """Create a listening socket; raise ``EADDRINUSE`` if the address is taken."""
        listeners = self._listeners.get(address, [])
        if listeners and not (reuse_port and all(sock.reuse_port for sock in listeners)):
            raise os_error(errno.EADDRINUSE)
        sock = self.stream()
        sock.local_address, sock.reuse_port = address, reuse_port
        sock.listen()
        self._listeners.setdefault(address, []).append(sock)
        return sock

    def datagram(self, address: Address) -> SimDatagram:
        """Create a UDP socket bound to an address."""
        owner = CURRENT_LIFETIME.get()
        if owner is not None and not owner.alive:
            raise Killed
        self.check_descriptor_limit(owner)
        if address in self._bound_datagrams:
            raise os_error(errno.EADDRINUSE)
        sock = self._bound_datagrams[address] = SimDatagram(self, owner, address)
        return sock

    def unbind(self, sock: SimDatagram) -> None:
        """Free the socket's address; datagrams to it are dropped."""
        self._bound_datagrams.pop(sock.local_address, None)

    def send_datagram(self, sock: SimDatagram, data: bytes, address: Address) -> None:
        """Send a datagram; a partition drops it, since no sender retransmits it."""
        faults, link = self.faults, self.new_link()
        for _ in range(1 + (self.rng.random() < faults.duplication)):
            if self.rng.random() < faults.loss:
                continue
            at_s = self._arrival_time_s(link, len(data)) + self.rng.random() * faults.max_delay_s
            self.loop.schedule_event(
                at_s, lambda: self._deliver_datagram(sock.node, sock.local_address, data, address)
            )

    def _deliver_datagram(self, node: str, source: Address, data: bytes, address: Address) -> None:
        target = self._bound_datagrams.get(address)
        if target is None:
            return
        ways = {(node, ""), ("", target.node), (node, target.node)}
        if not ways & self.link_state.blocked.keys() and len(target.queue) < MAX_QUEUED_DATAGRAMS:
            target.queue.append((data, source))
            target.notify_selector()

    def remove_listener(self, sock: SimSocket) -> None:
        """Remove a listener; as in Linux, the last socket of a reuse-port group takes its position."""
        listeners = self._listeners.get(sock.local_address, [])
        if sock in listeners:
            listeners[listeners.index(sock)] = listeners[-1]
            listeners.pop()
        if not listeners:
            self._listeners.pop(sock.local_address, None)
            self._steered_addresses.discard(sock.local_address)

    def steer(self, sock: SimSocket) -> None:
        """Send every new connection to the group's second socket; without one a socket is drawn at random."""
        self._steered_addresses.add(sock.local_address)

    def _select_listener(self, address: Address) -> SimSocket | None:
        """Select the socket that gets a new connection."""
        listeners = self._listeners.get(address, [])
        if len(listeners) < 2:
            return listeners[0] if listeners else None
        return listeners[1] if address in self._steered_addresses else self.rng.choice(listeners)

    def _deliver_when_reachable(self, pair: tuple[str, str], arrive: Callable[[], None]) -> None:
        """Deliver now, or once the pair of nodes is no longer partitioned."""
        if pair in self.link_state.blocked:
            self.link_state.held_back.append((pair, arrive))
        else:
            arrive()

    def partition(self, one: str, other: str) -> None:
        """Block one direction between two nodes ("" is the environment) until ``heal``."""
        self.link_state.blocked[one, other] = None

    def heal(self, one: str, other: str) -> None:
        """Unblock the direction; held-back data arrives, as its senders have retransmitted it."""
        self.link_state.blocked.pop((one, other), None)
        due, self.link_state.held_back = self.link_state.held_back, []
        for pair, arrive in due:
            self._deliver_when_reachable(pair, arrive)

    def _arrival_time_s(self, link: Link, size: int, not_before_s: float = 0.0) -> float:
        takes_s = link.latency_s + (self.rng.random() * link.jitter_s if link.jitter_s else 0.0)
        if link.bytes_per_s:
            takes_s += size / link.bytes_per_s
        return max(not_before_s, self.loop.now_s + takes_s)

    def start_connect(self, sock: SimSocket, address: Address) -> None:
        """Send a connection request."""
        sock.link = self.new_link()
        self.on_connect(sock.node, address)

        def arrive() -> None:
            if sock.state != "connecting":
                return
            listener = self._select_listener(address)
            if listener is None:
                self.loop.schedule_event(self._arrival_time_s(sock.link, 0), lambda: self._refuse(sock))
            elif len(listener.backlog) >= listener.max_backlog:
                self.loop.schedule_event(self.loop.now_s + CONNECT_RETRY_S, arrive)
            else:
                self._establish(sock, listener)

        pair = sock.node, self._node_at(address)
        self.loop.schedule_event(
            self._arrival_time_s(sock.link, 0), lambda: self._deliver_when_reachable(pair, arrive)
        )

    def _node_at(self, address: Address) -> str:
        listeners = self._listeners.get(address)
        return listeners[0].node if listeners else ""

    def _refuse(self, sock: SimSocket) -> None:
        if sock.state == "connecting":
            sock.state, sock.error = "failed", errno.ECONNREFUSED
            sock.notify_selector()

    def _establish(self, sock: SimSocket, listener: SimSocket) -> None:
        conn = SimSocket(self, listener.owner)
        if listener.owner is not None:  # it gets its descriptor on accept
            listener.owner.sockets.pop(conn._fd, None)
        conn.state, conn.local_address, conn.remote_address, conn.peer = (
            "open",
            sock.remote_address,
            sock.local_address,
            sock,
        )
        conn.node, conn.link = listener.node, self.new_link()
        listener.backlog.append(conn)
        listener.notify_selector()

        def established() -> None:
            if sock.state != "connecting":  # closed by its owner in the meantime
                self.send_reset(sock, conn)
                return
            sock.state, sock.peer = "open", conn
            sock.notify_selector()

        conn.last_arrival_s = self._arrival_time_s(conn.link, 0)
        self.loop.schedule_event(
            conn.last_arrival_s, lambda: self._deliver_when_reachable((conn.node, sock.node), established)
        )

    def send_bytes(self, sock: SimSocket, data: bytes) -> None:
        """Send bytes to the peer, split into segments."""
        peer, link = sock.peer, sock.link
        assert peer is not None
        pair, at = (sock.node, peer.node), 0
        while at < len(data):
            size = min(
                len(data) - at, 1 + self.rng.randrange(link.max_segment) if link.max_segment else len(data)
            )
            sock.last_arrival_s = self._arrival_time_s(link, size, sock.last_arrival_s)
            deliver = partial(self._deliver_bytes, sock, data[at : at + size])
            self.loop.schedule_event(
                sock.last_arrival_s, partial(self._deliver_when_reachable, pair, deliver)
            )
            at += size

    def _deliver_bytes(self, sock: SimSocket, piece: bytes) -> None:
        peer = sock.peer
        assert peer is not None
        if peer.state != "open":
            self.send_reset(peer, sock)
            return
        if not peer.error:
            peer.inbox += piece
            peer.notify_selector()

    def send_fin(self, sock: SimSocket) -> None:
        """Send the end of the stream, after all bytes sent so far."""
        peer = sock.peer
        if peer is None:
            return

        def arrive() -> None:
            peer.peer_closed = True
            peer.notify_selector()

        sock.last_arrival_s = self._arrival_time_s(sock.link, 0, sock.last_arrival_s)
        self.loop.schedule_event(
            sock.last_arrival_s, lambda: self._deliver_when_reachable((sock.node, peer.node), arrive)
        )

    def send_reset(self, sock: SimSocket, target: SimSocket | None = None) -> None:
        """Send a reset to the peer, after the bytes sent so far."""
        peer = target or sock.peer
        if peer is None:
            return

        def arrive() -> None:
            if peer.state == "open" and not peer.error:
                peer.error = errno.ECONNRESET
                peer.notify_selector()

        sock.last_arrival_s = self._arrival_time_s(sock.link, 0, sock.last_arrival_s)
        self.loop.schedule_event(
            sock.last_arrival_s, lambda: self._deliver_when_reachable((sock.node, peer.node), arrive)
        )

    def close_sockets_of(self, lifetime: Lifetime) -> None:
        """Close all sockets of a process that has ended; a socket with unread bytes is reset."""
        for sock in list(lifetime.sockets.values()):
            sock.release()

    def drop_sockets_silently(self, lifetime: Lifetime) -> None:
        """Drop all sockets of a lost machine without any notice to their peers."""
        for sock in list(lifetime.sockets.values()):
            sock.peer, sock.reset_on_close = None, False
            sock.release()
