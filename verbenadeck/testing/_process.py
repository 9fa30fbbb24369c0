"""Simulated processes on a virtual loop that can be paused and killed."""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from verbenadeck.testing._virtual_loop import VirtualLoop

_Result = TypeVar('_Result')
_process_variable: contextvars.ContextVar['VirtualProcess | None'] = (
    contextvars.ContextVar('process', default=None)
)


class VirtualProcess:
    """Group of tasks that are paused, resumed and killed together.

    Attributes
    ----------
    is_paused : bool
        Whether callbacks of the process are deferred.
    errors : list of BaseException
        Exceptions that ended tasks of the process.
    """

    def __init__(self) -> None:
        self.is_paused = False
        self.errors: list[BaseException] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._deferred_callbacks: list[Callable[[], None]] = []
        self._context = contextvars.copy_context()
        self._context.run(_process_variable.set, self)

    def spawn(
        self, work: Coroutine[Any, Any, _Result]
    ) -> 'asyncio.Task[_Result]':
        """Run a coroutine as a task of the process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, context=self._context.copy())

    def run(self, work: Callable[[], _Result]) -> _Result:
        """Call a function in the context of the process."""
        return self._context.copy().run(work)

    def add_task(self, task: 'asyncio.Task[Any]') -> None:
        """Register a task of the process until it is done."""
        self._tasks.add(task)
        task.add_done_callback(self._remove_task)

    def defer_callback(self, callback: Callable[[], None]) -> None:
        """Defer a callback until the process is resumed."""
        self._deferred_callbacks.append(callback)

    def pause(self) -> None:
        """Defer all callbacks of the process from now on."""
        self.is_paused = True

    def resume(self) -> None:
        """Schedule the deferred callbacks and stop deferring."""
        self.is_paused = False
        callbacks = self._deferred_callbacks
        self._deferred_callbacks = []
        loop = asyncio.get_running_loop()
        for callback in callbacks:
            loop.call_soon(callback)

    async def kill(self) -> None:
        """Cancel all tasks and wait for their end."""
        self.resume()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _remove_task(self, task: 'asyncio.Task[Any]') -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.errors.append(error)


class ProcessLoop(VirtualLoop):
    """Virtual loop that defers the callbacks of paused processes."""

    def __init__(self) -> None:
        super().__init__()
        self.set_task_factory(_create_task)

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback, deferred if its process is paused by then."""
        process = _process_of(context)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        handles: list[asyncio.Handle] = []
        deferrable = _defer_if_paused(process, callback, args, context, handles)
        handles.append(super().call_soon(deferrable, context=context))
        return handles[0]

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a time, deferred while its process pauses."""
        process = _process_of(context)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        handles: list[asyncio.Handle] = []
        deferrable = _defer_if_paused(process, callback, args, context, handles)
        handle = super().call_at(when, deferrable, context=context)
        handles.append(handle)
        return handle


def run_processes(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine in virtual time on a `ProcessLoop`."""
    with asyncio.Runner(loop_factory=ProcessLoop) as runner:
        return runner.run(main)


def _process_of(
    context: contextvars.Context | None,
) -> VirtualProcess | None:
    return (
        _process_variable.get()
        if context is None
        else context.get(_process_variable)
    )


def _defer_if_paused(
    process: VirtualProcess,
    callback: Callable[..., Any],
    args: tuple[Any, ...],
    context: contextvars.Context | None,
    handles: list[asyncio.Handle],
) -> Callable[[], None]:
    run_context = context or contextvars.copy_context()

    def run_deferred() -> None:
        if not handles[0].cancelled():
            run_context.run(callback, *args)

    def run_or_defer() -> None:
        if process.is_paused:
            process.defer_callback(run_deferred)
        else:
            callback(*args)

    return run_or_defer


def _create_task(
    loop: asyncio.AbstractEventLoop,
    work: Any,
    context: contextvars.Context | None = None,
) -> 'asyncio.Task[Any]':
    task = asyncio.Task(work, loop=loop, context=context)
    process = _process_of(context)
    if process is not None:
        process.add_task(task)
    return task


def current_process() -> VirtualProcess | None:
    """Return the process of the running code, None outside any process."""
    return _process_variable.get()
