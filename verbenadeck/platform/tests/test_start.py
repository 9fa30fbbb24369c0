"""Work that a node does before it listens."""

import os
import subprocess
import sys

_PROGRAM = """
import verbenadeck.platform
import ssl
print(len(ssl.create_default_context().get_ca_certs()))
"""


def test_no_certificates_are_loaded_at_the_start() -> None:
    clean = {
        name: text
        for name, text in os.environ.items()
        if not name.startswith('SSL_CERT')
    }
    ended = subprocess.run(
        (sys.executable, '-c', _PROGRAM),
        env=clean,
        capture_output=True,
        check=True,
        text=True,
    )
    assert ended.stdout.strip() == '0'
