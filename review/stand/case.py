"""Frame of a script case: record, exit code and the two modes."""

import asyncio
import os
import pathlib
import signal
import sys
import time
import traceback

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._started = time.monotonic()

    def __call__(self, *words):
        """Write one line."""
        now = time.monotonic() - self._started
        self._file.write(f'{now:8.3f} ' + ' '.join(map(str, words)) + '\n')
        self._file.flush()


def main(folder, play):
    """Run a case: `play(record, has_trouble)` returns whether it held."""
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record('disruption:', 'yes' if has_trouble else 'no')

    async def run():
        # The processes are ended also when this one is asked to stop.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(115):
            return await play(record, has_trouble)

    try:
        code = asyncio.run(run())
    except BaseException:
        record('the case could not run:', traceback.format_exc())
        code = CANNOT_RUN
    record('result:', {0: 'held', 1: 'broken', 2: 'could not run'}[code])
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.exit(code)
