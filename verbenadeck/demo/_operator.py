"""Operator of the demo: runs the commands that people run."""

import itertools
from pathlib import Path

from verbenadeck.demo._processes import ProcessGroup


class Operator:
    """Changes the configuration of a site by the program `verbenadeck`.

    Parameters
    ----------
    group : ProcessGroup
        Runs the program.
    log_url : str
        Base URL of the site's log.
    """

    def __init__(self, group: ProcessGroup, *, log_url: str) -> None:
        self._group = group
        self._log_url = log_url
        self._numbers = itertools.count(1)

    async def publish(self, path: Path) -> None:
        """Publish the configuration document of a file."""
        await self._run('publish', str(path))

    async def take_zone_out(self, zone: str, reason: str) -> None:
        """Take an availability zone out of service, also one without nodes."""
        await self._run('zone', 'out', zone, f'--reason={reason}', '--force')

    async def take_zone_in(self, zone: str, reason: str) -> None:
        """Bring an availability zone back into service."""
        await self._run('zone', 'in', zone, f'--reason={reason}', '--force')

    async def _run(self, *arguments: str) -> None:
        child = await self._group.start(
            f'operator-{next(self._numbers)}',
            'verbenadeck.commands',
            *arguments,
            f'--log_url={self._log_url}',
            '--author=demo',
        )
        output, _ = await child.process.communicate()
        if child.process.returncode:
            said = output.decode() + child.errors_path.read_text()
            raise RuntimeError(f'{arguments} failed: {said}')
