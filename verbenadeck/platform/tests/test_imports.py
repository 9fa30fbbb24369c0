"""Load: many nodes that start at the same time on small VMs.

What a process imports decides how long its callers wait for it.
"""

import subprocess
import sys

import pytest

_UNUSED_MODULES = (
    'sanic',
    'verbenadeck.admin',
    'verbenadeck.client',
    'verbenadeck.commands',
    'verbenadeck.daemon',
    'verbenadeck.settings',
    'verbenadeck.standins',
    'verbenadeck.testing',
)


@pytest.fixture(scope='module')
def imported_modules() -> frozenset[str]:
    """Modules that the program of a node on the platform imports."""
    program = (
        'import sys; import verbenadeck.platform.__main__; print(*sys.modules)'
    )
    printed = subprocess.run(
        (sys.executable, '-c', program), capture_output=True, check=True
    )
    return frozenset(printed.stdout.decode().split())


@pytest.mark.parametrize('module', _UNUSED_MODULES)
def test_module_that_a_node_does_not_use_is_not_imported(
    module: str, imported_modules: frozenset[str]
) -> None:
    assert module not in imported_modules
