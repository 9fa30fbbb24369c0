#!/bin/sh
# Builds what the scripts of cases 11, 13 and 14 start: the stand-ins are Python code
# on the packages that the build of the deploy file puts into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c '
import sys
sys.path.insert(0, "review/lab_3")
import lab
'
