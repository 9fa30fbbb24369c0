"""Processes of a virtual loop that can be paused and killed."""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from verbenadeck.testing._virtual_loop import VirtualLoop

_Done = TypeVar('_Done')
_current: contextvars.ContextVar['VirtualProcess | None'] = (
    contextvars.ContextVar('process', default=None)
)


class VirtualProcess:
    """Group of tasks that stop and go on together, as one process does.

    Attributes
    ----------
    is_paused : bool
        Whether callbacks of the process wait.
    errors : list of BaseException
        What ended tasks of the process.
    """

    def __init__(self) -> None:
        self.is_paused = False
        self.errors: list[BaseException] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._backlog: list[Callable[[], None]] = []
        self._context = contextvars.copy_context()
        self._context.run(_current.set, self)

    def spawn(self, work: Coroutine[Any, Any, _Done]) -> 'asyncio.Task[_Done]':
        """Run a coroutine as part of the process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, context=self._context.copy())

    def run(self, work: Callable[[], _Done]) -> _Done:
        """Call a function as part of the process."""
        return self._context.copy().run(work)

    def adopt(self, task: 'asyncio.Task[Any]') -> None:
        """Count a task to the process."""
        self._tasks.add(task)
        task.add_done_callback(self._forget)

    def hold(self, callback: Callable[[], None]) -> None:
        """Keep a callback until the process goes on."""
        self._backlog.append(callback)

    def pause(self) -> None:
        """Let nothing of the process run."""
        self.is_paused = True

    def resume(self) -> None:
        """Go on as if nothing had happened."""
        self.is_paused = False
        backlog = self._backlog
        self._backlog = []
        loop = asyncio.get_running_loop()
        for callback in backlog:
            loop.call_soon(callback)

    async def kill(self) -> None:
        """End all tasks."""
        self.resume()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _forget(self, task: 'asyncio.Task[Any]') -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.errors.append(error)


class ProcessLoop(VirtualLoop):
    """Virtual loop that holds back the callbacks of paused processes."""

    def __init__(self) -> None:
        super().__init__()
        self.set_task_factory(_make_task)

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback, unless its process is paused by then."""
        process = _process_of(context)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        held: list[asyncio.Handle] = []
        gated = _gated(process, callback, args, context, held)
        held.append(super().call_soon(gated, context=context))
        return held[0]

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback, unless its process is paused by then."""
        process = _process_of(context)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        held: list[asyncio.Handle] = []
        gated = _gated(process, callback, args, context, held)
        handle = super().call_at(when, gated, context=context)
        held.append(handle)
        return handle


def run_processes(main: Coroutine[Any, Any, _Done]) -> _Done:
    """Run a coroutine in virtual time with processes that can pause."""
    with asyncio.Runner(loop_factory=ProcessLoop) as runner:
        return runner.run(main)


def _process_of(
    context: contextvars.Context | None,
) -> VirtualProcess | None:
    return _current.get() if context is None else context.get(_current)


def _gated(
    process: VirtualProcess,
    callback: Callable[..., Any],
    args: tuple[Any, ...],
    context: contextvars.Context | None,
    held: list[asyncio.Handle],
) -> Callable[[], None]:
    used = context or contextvars.copy_context()

    def late() -> None:
        if not held[0].cancelled():
            used.run(callback, *args)

    def gate() -> None:
        if process.is_paused:
            process.hold(late)
        else:
            callback(*args)

    return gate


def _make_task(
    loop: asyncio.AbstractEventLoop,
    work: Any,
    context: contextvars.Context | None = None,
) -> 'asyncio.Task[Any]':
    task = asyncio.Task(work, loop=loop, context=context)
    process = _process_of(context)
    if process is not None:
        process.adopt(task)
    return task


def current_process() -> VirtualProcess | None:
    """Return the process whose code runs now, None outside of any."""
    return _current.get()
