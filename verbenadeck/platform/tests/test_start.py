"""Work that a node does when it starts, before it listens."""

import os
import subprocess
import sys

_PROGRAM = """
import verbenadeck.platform
import ssl
print(len(ssl.create_default_context().get_ca_certs()))
"""


def test_importing_the_package_loads_no_certificates() -> None:
    environment = {
        name: text
        for name, text in os.environ.items()
        if not name.startswith('SSL_CERT')
    }
    completed = subprocess.run(
        (sys.executable, '-c', _PROGRAM),
        env=environment,
        capture_output=True,
        check=True,
        text=True,
    )
    assert completed.stdout.strip() == '0'


_SIGHUP_PROGRAM = """
import os, signal, sys

class SignalOnImport:
    def find_spec(self, name, path, target=None):
        if name == 'uvloop':
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalOnImport())
import verbenadeck.platform.__main__
print('imported')
"""


def test_sighup_during_the_imports_does_not_end_the_process() -> None:
    # Guards against a change of settings that ends a node that is starting.
    completed = subprocess.run(
        (sys.executable, '-c', _SIGHUP_PROGRAM),
        capture_output=True,
        check=False,
        text=True,
    )
    assert completed.stdout.strip() == 'imported'
