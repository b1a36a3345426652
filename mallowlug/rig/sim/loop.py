"""The simulated event loop: asyncio's selector loop on a clock that advances only when no work is left.

Everything above the system calls is real code: asyncio's transports, servers, tasks and timers. Only the
selector, the sockets (``net.py``) and the clock are replaced. Each handle belongs to the process lifetime in
whose context it was created. The handles of a killed process are cancelled; those of a suspended process
are deferred until it resumes.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import selectors
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from mallowlug.rig.sim.net import Network, SimSocket

T = TypeVar("T")
START_S = 1000.0  # initial value of the simulated monotonic clock
Ready = list[tuple[selectors.SelectorKey, int]]


class Killed(BaseException):
    """The current process was killed; unwinds its stack and must not be caught by the program."""


class StuckError(RuntimeError):
    """The run has not ended, but no handle, timer or kernel event is left."""


class Lifetime:
    """One process lifetime, from start to exit or kill, as the event loop sees it."""

    def __init__(self, name: str, number: int) -> None:
        self.name, self.number = name, number
        self.alive, self.suspended = True, False
        self.deferred_handles: list[asyncio.Handle] = []  # handles that came due while suspended
        self.steps = 0  # handles run so far
        self.before_step: Callable[[], None] | None = None  # called before each handle; may kill the process
        # Returns the outcome of a system call.
        self.intercept_call: Callable[[str, bytes], str] = lambda _call, _data: ""
        self.terminate: Callable[[], None] = lambda: None  # kills the process
        self.sockets: dict[int, SimSocket] = {}  # by descriptor, in order of creation
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.handlers: dict[int, Callable[[], object]] = {}  # by signal number

    def begin_call(self, call: str, data: bytes = b"") -> str:
        """Begin a system call; return its outcome. Raises ``Killed`` if the process is dead or dies first."""
        if not self.alive:
            raise Killed
        return self.intercept_call(call, data)

    def end_call(self, how: str) -> None:
        """Finish a system call; kill the process and raise ``Killed`` if this call is to be its last."""
        if how in ("within", "after"):
            self.terminate()
            raise Killed


CURRENT_LIFETIME: ContextVar[Lifetime | None] = ContextVar("life", default=None)


class Selector(selectors.BaseSelector):
    """Reports ready sockets; checks only those whose state has changed since the last check."""

    def __init__(self) -> None:
        self._keys: dict[int, selectors.SelectorKey] = {}
        self._sockets: dict[int, SimSocket] = {}
        self._dirty: dict[int, None] = {}  # descriptors that may be ready, in the order of their changes

    def add_socket(self, sock: SimSocket) -> None:
        """Register the socket under its descriptor."""
        self._sockets[sock.fileno()] = sock

    def remove_socket(self, fd: int) -> None:
        """Forget a closed descriptor."""
        self._sockets.pop(fd, None)
        self._keys.pop(fd, None)
        self._dirty.pop(fd, None)

    def mark_changed(self, fd: int) -> None:
        """Mark a socket for the next check."""
        if fd in self._keys:
            self._dirty[fd] = None

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if fd not in self._sockets:
            raise ValueError(f"no such descriptor: {fd}")
        key = self._keys[fd] = selectors.SelectorKey(fd, fd, events, data)
        self._dirty[fd] = None
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        self._dirty.pop(fd, None)
        return self._keys.pop(fd)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        return self.register(fileobj, events, data)

    def get_map(self) -> Any:
        return self._keys

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        return self._keys[fileobj if isinstance(fileobj, int) else fileobj.fileno()]

    def select(self, timeout: float | None = None) -> Ready:
        """Return what is ready now (level-triggered), without the sockets of suspended processes."""
        ready_keys: Ready = []
        for fd in list(self._dirty):
            sock, key = self._sockets[fd], self._keys[fd]
            if sock.owner is not None and sock.owner.suspended:
                continue
            mask = sock.ready() & key.events
            if mask:
                ready_keys.append((key, mask))
            else:
                del self._dirty[fd]
        return ready_keys

    def close(self) -> None:
        self._keys.clear()


class SimLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time; it also runs the kernel's own events, such as arriving bytes."""

    _ready: deque[asyncio.Handle]
    _scheduled: list[asyncio.TimerHandle]
    _stopping: bool
    _process_events: Callable[[Ready], None]
    net: Network

    def __init__(self) -> None:
        self.now_s = START_S
        self.selector = Selector()
        self._kernel_events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count, self._cancelled_timers = 0, 0  # kernel events scheduled; timers cancelled
        self.unhandled: list[str] = []  # unhandled exceptions, with the name of their process
        super().__init__(self.selector)
        self.set_task_factory(self._make_task)
        self.set_exception_handler(self._record_unhandled)

    def _make_self_pipe(self) -> None:
        """Create no pipe: no other thread wakes this loop."""

    def _close_self_pipe(self) -> None:
        """Do nothing: no pipe was created."""

    def time(self) -> float:
        return self.now_s

    def schedule_event(self, when_s: float, event: Callable[[], None]) -> None:
        """Schedule a kernel event; events of the same time run in the order in which they were scheduled."""
        self._event_count += 1
        heapq.heappush(self._kernel_events, (when_s, self._event_count, event))

    async def create_server(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        """As in asyncio, but listen on a simulated socket unless one is given."""
        if host is not None:
            more["sock"] = self.net.listener((host, port))
        return await super().create_server(factory, **more)

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        """As in asyncio, but connect by a simulated socket."""
        if host is not None:
            more["sock"] = sock = self.net.stream()
            try:
                await self.sock_connect(sock, (host, port))  # type: ignore[arg-type]
            except BaseException:
                sock.close()
                raise
        return await super().create_connection(factory, **more)

    def _make_task(self, loop: Any, coro: Any, context: Context | None = None, **more: Any) -> Any:
        task = asyncio.Task(coro, loop=loop, context=context, **more)
        if (lifetime := lifetime_of(context)) is not None:
            lifetime.tasks[task] = None
            task.add_done_callback(lambda done: lifetime.tasks.pop(done, None))
        return task

    def _record_unhandled(self, _loop: Any, context: dict[str, Any]) -> None:
        error, lifetime = context.get("exception"), CURRENT_LIFETIME.get()
        if not isinstance(error, Killed) and (lifetime is None or lifetime.alive):
            self.unhandled.append(
                f"{lifetime.name if lifetime else 'environment'}: {context['message']}: {error!r}"
            )

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        if is_dead(context):
            handle = asyncio.Handle(callback, args, self)
            handle.cancel()
            return handle
        return super().call_soon(callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        if is_dead(context):
            timer = asyncio.TimerHandle(when, callback, args, self)
            timer.cancel()
            return timer
        return super().call_at(when, callback, *args, context=context)

    def add_signal_handler(self, sig: int, callback: Any, *args: Any) -> None:  # type: ignore[override]
        lifetime = CURRENT_LIFETIME.get()
        assert lifetime is not None, "the simulated environment handles no signals"
        lifetime.handlers[sig] = lambda: callback(*args)

    def remove_signal_handler(self, sig: int) -> bool:
        lifetime = CURRENT_LIFETIME.get()
        return lifetime is not None and lifetime.handlers.pop(sig, None) is not None

    def cancel_handles_of(self, lifetime: Lifetime) -> None:
        """Cancel all handles of a process that has ended."""
        for handle in [*self._ready, *self._scheduled]:
            if lifetime_of_handle(handle) is lifetime:
                handle.cancel()
        lifetime.deferred_handles.clear()

    def resume(self, lifetime: Lifetime) -> None:
        """Resume a suspended process: the handles that came due meanwhile run now."""
        lifetime.suspended = False
        self._ready.extend(lifetime.deferred_handles)
        lifetime.deferred_handles.clear()
        for fd in lifetime.sockets:
            self.selector.mark_changed(fd)

    def _run_once(self) -> None:
        """Run one iteration: all ready handles, or advance the clock to the next event or timer."""
        while self._kernel_events and self._kernel_events[0][0] <= self.now_s:
            heapq.heappop(self._kernel_events)[2]()
        self._process_events(self.selector.select())
        self._queue_due_timers()
        if not self._ready and not self._stopping:
            self._advance_clock()
        for _ in range(len(self._ready)):
            handle = self._ready.popleft()
            if handle.cancelled():
                continue
            lifetime = lifetime_of_handle(handle)
            if lifetime is not None and not self._may_run(lifetime, handle):
                continue
            handle._run()

    def _queue_due_timers(self) -> None:
        while self._scheduled and (self._scheduled[0].cancelled() or self._scheduled[0].when() <= self.now_s):
            timer = heapq.heappop(self._scheduled)
            untyped(timer)._scheduled = False
            if not timer.cancelled():
                self._ready.append(timer)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Drop cancelled timers when due; rebuild the heap once most of its timers are cancelled."""
        self._cancelled_timers += 1
        if self._cancelled_timers > 1000 and 2 * self._cancelled_timers > len(self._scheduled):
            self._scheduled = [timer for timer in self._scheduled if not timer.cancelled()]
            heapq.heapify(self._scheduled)
            self._cancelled_timers = 0

    def _advance_clock(self) -> None:
        """Advance the clock to the next kernel event or timer; raise ``StuckError`` if there is none."""
        times = [self._kernel_events[0][0]] if self._kernel_events else []
        if self._scheduled:
            times.append(self._scheduled[0].when())
        if not times:
            raise StuckError("no handle is ready and no timer or kernel event is scheduled")
        self.now_s = max(self.now_s, min(times))

    def _may_run(self, lifetime: Lifetime, handle: asyncio.Handle) -> bool:
        if not lifetime.alive:
            return False
        if lifetime.suspended:
            lifetime.deferred_handles.append(handle)
            return False
        lifetime.steps += 1
        if lifetime.before_step is not None:
            lifetime.before_step()
        return lifetime.alive and not handle.cancelled()

    def run_main(self, main: Coroutine[Any, Any, T]) -> T:
        """Run the main coroutine of the simulated environment to its end, then close all remaining tasks."""
        try:
            return self.run_until_complete(main)
        finally:
            for task in asyncio.all_tasks(self):
                untyped(task)._log_destroy_pending = False
                with contextlib.suppress(RuntimeError, ValueError):
                    untyped(task.get_coro()).close()
            self.close()


def lifetime_of(context: Context | None) -> Lifetime | None:
    """The process lifetime of a context, or the current one if no context is given."""
    return CURRENT_LIFETIME.get() if context is None else context.get(CURRENT_LIFETIME)


def is_dead(context: Context | None) -> bool:
    """Whether the context belongs to a process that has ended."""
    lifetime = lifetime_of(context)
    return lifetime is not None and not lifetime.alive


def lifetime_of_handle(handle: asyncio.Handle) -> Lifetime | None:
    """The process lifetime in whose context a handle was created."""
    return lifetime_of(untyped(handle)._context)


def untyped(thing: Any) -> Any:
    """Return the object as ``Any``, to reach asyncio's private attributes, which the type stubs omit."""
    return thing
