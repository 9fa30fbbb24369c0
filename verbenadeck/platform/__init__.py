"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides and nothing outside knows the platform's names.
"""

import os

# Nothing here speaks TLS. The HTTP library loads the certificates of the
# system when it is imported, a seventh of the time that a node needs to start.
os.environ.setdefault('SSL_CERT_FILE', os.devnull)
os.environ.setdefault('SSL_CERT_DIR', os.devnull)
