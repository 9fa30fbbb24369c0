"""Entry point of a node on the platform: `python -m verbenadeck.platform`."""

import os
import signal
import sys
from pathlib import Path

# By default SIGHUP ends the process, and the imports that follow take most of
# the time until it is handled.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import uvloop
from returns.pipeline import is_successful

from verbenadeck.platform._daemon import run_node
from verbenadeck.platform._settings import CONFIG_PATH_VARIABLE, load_settings


def main() -> int:
    """Run the node that the settings file describes.

    Returns
    -------
    int
        Exit code: 2 when the settings can't be used, 1 when the node can't
        start, else 0.
    """
    settings_path = Path(os.environ.get(CONFIG_PATH_VARIABLE, ''))
    settings = load_settings(settings_path)
    if not is_successful(settings):
        sys.stderr.write(f'verbenadeck: {settings.failure().detail}\n')
        return 2
    result = uvloop.run(run_node(settings.unwrap(), settings_path))
    if not is_successful(result):
        sys.stderr.write(f'verbenadeck: {result.failure().detail}\n')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
