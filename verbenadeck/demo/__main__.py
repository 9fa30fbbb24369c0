"""Command of the demo: `python -m verbenadeck.demo --out build/demo.json`."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import msgspec
import uvloop
from absl import app, flags

from verbenadeck.demo import SITES, Session, SiteReport, table_of

_OUT = flags.DEFINE_string('out', 'build/demo.json', 'File of the report.')
_SITES = flags.DEFINE_multi_enum(
    'site', [], [site.name for site in SITES], 'Sites; all when none.'
)
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the load and of a soak.')
_SOAK_S = flags.DEFINE_float(
    'soak_s', 0, 'Seconds of random disorder in place of the usual events.'
)
_SUBNETS = 240
_FIRST_SUBNET = 10


async def _run_all(folder: Path) -> list[SiteReport]:
    """Run the sites one after the other; SIGTERM ends all processes."""
    running = asyncio.current_task()
    if running is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, running.cancel)
    reports: list[SiteReport] = []
    subnet = _FIRST_SUBNET + os.getpid() % _SUBNETS
    for site in SITES:
        if _SITES.value and site.name not in _SITES.value:
            continue
        session = Session(
            site,
            subnet=subnet,
            folder=folder / site.name,
            seed=_SEED.value,
            soak_s=_SOAK_S.value,
        )
        report = await session.run()
        sys.stdout.write(f'{table_of(report)}\n')
        sys.stdout.flush()
        reports.append(report)
    return reports


def main(_argv: list[str]) -> None:
    """Run the demo; the exit status is 1 when a promise broke."""
    out = Path(_OUT.value)
    out.parent.mkdir(parents=True, exist_ok=True)
    folder = out.parent / 'demo'
    reports = uvloop.run(_run_all(folder))
    raw = msgspec.json.format(msgspec.json.encode(reports))
    out.write_bytes(raw)
    is_good = bool(reports) and all(report.is_good for report in reports)
    sys.exit(0 if is_good else 1)


if __name__ == '__main__':
    app.run(main)
