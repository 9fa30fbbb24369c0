"""Cost of one decision line: loguru direct, queued, and batched."""

import argparse
import asyncio
import io
import json
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType

from loguru import logger

from verbenadeck.logs import make_decision_logger, setup_logs, teardown_logs

_LINES = 50_000
_ROUNDS = 3
_NS_PER_US = 1000


def _write_loguru(path: Path, lines: int, *, is_queued: bool) -> int:
    logger.remove()
    sink = logger.add(path, enqueue=is_queued, format='{time} {message}')
    bound = logger.bind(part='router')
    started_ns = time.process_time_ns()
    for index in range(lines):
        bound.info('route {} of {} to {}', index, 'catalogue', 'suva-1')
    logger.complete()
    spent_ns = time.process_time_ns() - started_ns
    logger.remove(sink)
    return spent_ns


def _write_direct(path: Path, lines: int) -> int:
    return _write_loguru(path, lines, is_queued=False)


def _write_queued(path: Path, lines: int) -> int:
    return _write_loguru(path, lines, is_queued=True)


def _write_batched(path: Path, lines: int, line_format: str) -> int:
    async def write(stream: io.TextIOWrapper) -> int:
        writer = setup_logs(
            stream=stream,
            line_format='json' if line_format == 'json' else 'plain',
        )
        decide = make_decision_logger('router')
        started_ns = time.process_time_ns()
        for index in range(lines):
            decide('route {} of {} to {}', index, 'catalogue', 'suva-1')
        writer.flush()
        return time.process_time_ns() - started_ns

    with path.open('w') as stream:
        spent_ns = asyncio.run(write(stream))
        teardown_logs()
    return spent_ns


def _write_plain(path: Path, lines: int) -> int:
    return _write_batched(path, lines, 'plain')


def _write_json(path: Path, lines: int) -> int:
    return _write_batched(path, lines, 'json')


_WAYS: Mapping[str, Callable[[Path, int], int]] = MappingProxyType(
    {
        'loguru_direct': _write_direct,
        'loguru_enqueue': _write_queued,
        'batched_plain': _write_plain,
        'batched_json': _write_json,
    }
)


def measure(folder: Path, *, lines: int = _LINES) -> dict[str, float]:
    """Return the processor time per line in microseconds, by way.

    The least of several rounds is taken, since other processes only add.
    A way that loses a line raises.
    """
    costs: dict[str, float] = {}
    for name, way in _WAYS.items():
        spent_ns: list[int] = []
        for round_index in range(_ROUNDS):
            path = folder / f'{name}-{round_index}.log'
            spent_ns.append(way(path, lines))
            if len(path.read_text().splitlines()) != lines:
                raise AssertionError(f'{name} lost lines')
            path.unlink()
        costs[name] = round(min(spent_ns) / lines / _NS_PER_US, 3)
    return costs


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--folder', type=Path, default=Path('build'))
    parser.add_argument('--lines', type=int, default=_LINES)
    options = parser.parse_args()
    options.folder.mkdir(exist_ok=True, parents=True)
    costs = measure(options.folder, lines=options.lines)
    print(json.dumps({'cpu_us_per_line': costs, 'lines': options.lines}))


if __name__ == '__main__':
    _main()
