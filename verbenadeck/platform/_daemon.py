"""Process of a node on the platform: start, signals and planned stop."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.logs import open_pipe, setup_logs
from verbenadeck.node import (
    PlannedStop,
    StartError,
    make_loop_exception_handler,
    stop_node,
)
from verbenadeck.platform._assembly import PlatformNode
from verbenadeck.platform._settings import PlatformSettings, load_settings
from verbenadeck.utils import Clock

_log = logger.bind(part='node')
_STOP_TIMEOUT_SHARE = 0.3

MAX_LINGER_S = 2.2
"""Longest time in seconds from SIGTERM for which the entry still accepts
requests: the platform checks readiness once a second and sends callers to
other nodes after two failed checks."""


async def run_node(
    settings: PlatformSettings, settings_path: Path
) -> Result[None, StartError]:
    """Run a node until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : PlatformSettings
        Checked settings of the node.
    settings_path : Path
        File that they were read from.

    Returns
    -------
    Result
        Failure with the cause when a service can't start.
    """
    log_writer = setup_logs(
        line_format='json',
        stream=open_pipe(sys.stdout.fileno(), line_format='json'),
    )
    stop = PlannedStop(clock=Clock(), timeout_s=settings.stop_timeout_s)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.begin)
    loop.add_signal_handler(
        signal.SIGHUP, log_changed_settings, settings, settings_path
    )
    loop.set_exception_handler(
        make_loop_exception_handler(
            flush_logs=log_writer.flush, exit_process=os._exit
        )
    )
    node = PlatformNode(settings, stop)
    try:
        await node.kernel.start()
    except OSError as error:
        return Failure(StartError(f'{settings.node_id}: {error}'))
    node.mark_started()
    _log.info('{} started in {}', settings.node_id, settings.zone)
    await stop.wait()
    await stop_node(
        node.kernel,
        timeout_s=settings.stop_timeout_s * _STOP_TIMEOUT_SHARE,
        linger_s=MAX_LINGER_S,
        are_callers_notified=lambda: node.control.are_callers_notified,
    )
    log_writer.flush()
    return Success(None)


def log_changed_settings(settings: PlatformSettings, path: Path) -> None:
    """Log which settings in a file differ from those in use.

    All of them hold from the start of a process to its end.

    Parameters
    ----------
    settings : PlatformSettings
        Settings in use.
    path : Path
        Path of the settings file.
    """
    reread = load_settings(path)
    if not is_successful(reread):
        _log.error('settings reread, not usable: {}', reread.failure().detail)
        return
    changed = [
        field
        for field in settings.__struct_fields__
        if getattr(settings, field) != getattr(reread.unwrap(), field)
    ]
    if changed:
        _log.warning(
            'settings reread; changed, in force from the next start: {}',
            ', '.join(changed),
        )
    else:
        _log.info('settings reread; nothing changed')
