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

_GUARD_S = 60


def _write_settings(folder: Path, **changed: Any) -> str:
    path = folder / 'node.json'
    free: dict[str, Any] = {
        'peer_port': 0,
        'entry_port': 0,
        'admin_port': 0,
        'log': {'url': f'http://127.0.0.1:{_closed_port()}'},
    }
    path.write_text(settings_text(**(free | changed)))
    return str(path)


def _closed_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return int(listener.getsockname()[1])


async def _start(*words: str) -> Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'verbenadeck.commands',
        *words,
        stdout=PIPE,
        stderr=PIPE,
    )


async def _end(process: Process) -> tuple[int, str]:
    _out, errors = await asyncio.wait_for(process.communicate(), _GUARD_S)
    assert process.returncode is not None
    return process.returncode, errors.decode()


@pytest.mark.parametrize('name', ['peer_port', 'entry_port', 'admin_port'])
def test_a_taken_port_ends_the_start_with_an_error(
    tmp_path: Path, name: str
) -> None:
    with socket.create_server(('127.0.0.1', 0)) as taken:
        port = taken.getsockname()[1]
        path = _write_settings(tmp_path, **{name: port})

        async def scenario() -> tuple[int, str]:
            return await _end(await _start('node', f'--settings={path}'))

        code, errors = asyncio.run(scenario())
    assert code == ExitCode.FAILED
    assert 'the node could not start: suva-catalogue-1: ' in errors
    told = errors[errors.index('the node could not start') :]
    assert 'address already in use' in told.lower()
    assert str(port) in told
    assert 'Traceback' not in errors


def test_a_signal_at_the_ready_line_is_a_planned_stop(tmp_path: Path) -> None:
    path = _write_settings(tmp_path)

    async def scenario() -> tuple[int, str]:
        process = await _start('node', f'--settings={path}')
        assert process.stdout is not None
        await asyncio.wait_for(process.stdout.readline(), _GUARD_S)
        process.send_signal(signal.SIGTERM)
        return await _end(process)

    code, errors = asyncio.run(scenario())
    assert code == ExitCode.DONE
    assert 'node: planned stop begins' in errors
    assert 'membership: left' in errors


def test_an_unreachable_log_at_start_is_told_and_waited_for(
    tmp_path: Path,
) -> None:
    path = _write_settings(tmp_path)

    async def scenario() -> tuple[int, str, int, str]:
        process = await _start('node', f'--settings={path}')
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), _GUARD_S)
        port = json.loads(line)['admin_port']
        async with aiohttp.ClientSession() as session:
            url = f'http://127.0.0.1:{port}/ready'
            async with session.get(url) as answer:
                status, text = answer.status, await answer.text()
        process.send_signal(signal.SIGTERM)
        code, errors = await _end(process)
        return status, text, code, errors

    status, text, code, errors = asyncio.run(scenario())
    assert status == 503
    assert 'waits for the log' in text
    assert code == ExitCode.DONE
    assert 'Traceback' not in errors


def test_wrong_settings_end_the_start_with_all_problems(
    tmp_path: Path,
) -> None:
    path = _write_settings(tmp_path, peer_port='x', zone='')

    async def scenario() -> tuple[int, str]:
        return await _end(await _start('node', f'--settings={path}'))

    code, errors = asyncio.run(scenario())
    assert code == ExitCode.INVALID
    assert 'peer_port: must be a whole number, not "x"' in errors
    assert 'zone: must be a name' in errors
