import asyncio
import json
import signal
import socket
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from verbenadeck.commands import ExitCode
from verbenadeck.settings.tests.builders import settings_text

_PROCESS_TIMEOUT_S = 60


def _write_settings(folder: Path, **changed: Any) -> str:
    path = folder / 'node.json'
    free: dict[str, Any] = {
        'peer_port': 0,
        'entry_port': 0,
        'admin_port': 0,
        'log': {'url': f'http://127.0.0.1:{_find_closed_port()}'},
    }
    path.write_text(settings_text(**(free | changed)))
    return str(path)


def _find_closed_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return int(listener.getsockname()[1])


async def _start_program(*words: str) -> Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'verbenadeck.commands',
        *words,
        stdout=PIPE,
        stderr=PIPE,
    )


async def _wait_for_exit(process: Process) -> tuple[int, str]:
    _out, errors = await asyncio.wait_for(
        process.communicate(), _PROCESS_TIMEOUT_S
    )
    assert process.returncode is not None
    return process.returncode, errors.decode()


@pytest.mark.parametrize('name', ['peer_port', 'entry_port', 'admin_port'])
def test_node_exits_with_error_when_port_is_in_use(
    tmp_path: Path, name: str
) -> None:
    with socket.create_server(('127.0.0.1', 0)) as taken:
        port = taken.getsockname()[1]
        path = _write_settings(tmp_path, **{name: port})

        async def scenario() -> tuple[int, str]:
            return await _wait_for_exit(
                await _start_program('node', f'--settings={path}')
            )

        code, errors = asyncio.run(scenario())
    assert code == ExitCode.FAILED
    assert 'the node could not start: suva-catalogue-1: ' in errors
    start_error = errors[errors.index('the node could not start') :]
    assert 'address already in use' in start_error.lower()
    assert str(port) in start_error
    assert 'Traceback' not in errors


def test_sigterm_after_ready_line_starts_planned_stop(tmp_path: Path) -> None:
    path = _write_settings(tmp_path)

    async def scenario() -> tuple[int, str]:
        process = await _start_program('node', f'--settings={path}')
        assert process.stdout is not None
        await asyncio.wait_for(process.stdout.readline(), _PROCESS_TIMEOUT_S)
        process.send_signal(signal.SIGTERM)
        return await _wait_for_exit(process)

    code, errors = asyncio.run(scenario())
    assert code == ExitCode.DONE
    assert 'node: planned stop begins' in errors
    assert 'membership: stopped as incarnation' in errors


def test_node_is_unready_and_waits_while_log_is_unreachable(
    tmp_path: Path,
) -> None:
    path = _write_settings(tmp_path)

    async def scenario() -> tuple[int, str, int, str]:
        process = await _start_program('node', f'--settings={path}')
        assert process.stdout is not None
        line = await asyncio.wait_for(
            process.stdout.readline(), _PROCESS_TIMEOUT_S
        )
        port = json.loads(line)['admin_port']
        async with aiohttp.ClientSession() as session:
            url = f'http://127.0.0.1:{port}/ready'
            async with session.get(url) as answer:
                status, text = answer.status, await answer.text()
        process.send_signal(signal.SIGTERM)
        code, errors = await _wait_for_exit(process)
        return status, text, code, errors

    status, text, code, errors = asyncio.run(scenario())
    assert status == 503
    assert 'waits for the log' in text
    assert code == ExitCode.DONE
    assert 'Traceback' not in errors


def test_node_exits_with_all_problems_of_invalid_settings(
    tmp_path: Path,
) -> None:
    path = _write_settings(tmp_path, peer_port='x', zone='')

    async def scenario() -> tuple[int, str]:
        return await _wait_for_exit(
            await _start_program('node', f'--settings={path}')
        )

    code, errors = asyncio.run(scenario())
    assert code == ExitCode.INVALID
    assert 'peer_port: must be a whole number, not "x"' in errors
    assert 'zone: must be a name' in errors
