#!/bin/sh
# Builds what the cases start: their stand-ins need the router's environment alone, and are only compiled.
set -e
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q standins.py 1 2 3
