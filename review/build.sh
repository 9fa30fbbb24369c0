#!/bin/sh
# The stand-ins are Python sources that need no build: checks that they load.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import stand.case, stand.client, stand.fleet'
