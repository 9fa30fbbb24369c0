"""Adapter to the users' platform: its names, formats and calls.

The package only translates between the platform and the other packages; it
makes no routing decisions. No other package uses the platform's names.
"""

import os

# No connection of a node uses TLS, but the HTTP library loads the certificates
# of the system when it is imported. That takes a seventh of a node's start
# time, so the library is pointed at empty files.
os.environ.setdefault('SSL_CERT_FILE', os.devnull)
os.environ.setdefault('SSL_CERT_DIR', os.devnull)
