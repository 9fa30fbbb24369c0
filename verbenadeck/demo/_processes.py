"""Processes of the demo, each ended by its own id."""

import asyncio
import signal
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from types import TracebackType
from typing import NamedTuple

import msgspec

from verbenadeck.standins import ListenAddress

_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 8.0


class Child(NamedTuple):
    """A process with its name and the file of its error stream."""

    name: str
    process: Process
    errors_path: Path


class ProcessGroup:
    """Starts processes and ends all of them when it is left.

    Parameters
    ----------
    folder : Path
        Folder for the error streams.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._children: list[Child] = []

    async def __aenter__(self) -> 'ProcessGroup':
        """Make the folder."""
        self._folder.mkdir(parents=True, exist_ok=True)
        for stale in self._folder.glob('*.log'):
            stale.unlink()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process that still runs."""
        await self.stop(tuple(self._children))

    async def start(self, name: str, *command: str) -> Child:
        """Start a Python module as a process."""
        errors_path = self._folder / f'{name}.log'
        with errors_path.open('ab') as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', *command, stdout=PIPE, stderr=errors
            )
        child = Child(name, process, errors_path)
        self._children.append(child)
        return child

    async def stop(self, children: tuple[Child, ...]) -> tuple[str, ...]:
        """Stop processes gracefully; return the names that had to be killed.

        A paused process is continued first, or it could not stop.
        """
        for child in children:
            send_signal(child, signal.SIGCONT)
            send_signal(child, signal.SIGTERM)
        ends = await asyncio.gather(*(_end(child) for child in children))
        return tuple(
            child.name
            for child, is_graceful in zip(children, ends, strict=True)
            if not is_graceful
        )


async def read_listening(child: Child) -> ListenAddress:
    """Return the address that a stand-in printed.

    Raises
    ------
    RuntimeError
        When it printed none in time.
    """
    output = child.process.stdout
    if output is None:
        raise RuntimeError(f'{child.name} has no output')
    line = await asyncio.wait_for(output.readline(), _START_TIMEOUT_S)
    if not line:
        raise RuntimeError(f'{child.name} ended early: {child.errors_path}')
    return msgspec.json.decode(line, type=ListenAddress)


def send_signal(child: Child, number: signal.Signals) -> None:
    """Send a signal to a process that still runs."""
    if child.process.returncode is None:
        child.process.send_signal(number)


async def _end(child: Child) -> bool:
    process = child.process
    try:
        await asyncio.wait_for(process.communicate(), _STOP_TIMEOUT_S)
    except TimeoutError:
        send_signal(child, signal.SIGKILL)
        await process.wait()
        return False
    return True
