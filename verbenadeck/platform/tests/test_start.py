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
