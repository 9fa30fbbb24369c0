import asyncio
import signal
from pathlib import Path

import pytest

from verbenadeck.demo._processes import (
    Child,
    ProcessGroup,
    read_listening,
    send_signal,
)


async def _start_log(group: ProcessGroup) -> Child:
    child = await group.start('log', 'verbenadeck.standins', 'log')
    listening = await read_listening(child)
    assert listening.port > 0
    return child


def test_processes_end_when_the_demo_fails(tmp_path: Path) -> None:
    children: list[Child] = []

    async def main() -> None:
        async with ProcessGroup(tmp_path) as group:
            children.append(await _start_log(group))
            send_signal(children[0], signal.SIGSTOP)
            raise RuntimeError('demo failed')

    with pytest.raises(RuntimeError, match='demo failed'):
        asyncio.run(main())
    assert children[0].process.returncode == 0


def test_an_early_end_is_told(tmp_path: Path) -> None:
    async def main() -> None:
        async with ProcessGroup(tmp_path) as group:
            child = await group.start('odd', 'verbenadeck.standins', 'odd')
            await read_listening(child)

    with pytest.raises(RuntimeError, match='ended early'):
        asyncio.run(main())
