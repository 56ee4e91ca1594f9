#!/bin/sh
# Builds what the cases start. The stand-ins of case 1 need the router's environment alone; case 2 runs the list
# service, the release controller and agents, in an environment with their requirements.
set -e
cd "$(dirname "$0")"
requirements="../requirements.txt ../requirements-registry.txt ../requirements-release.txt"
if ! cat $requirements | cmp -s - .venv/built-from; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install $(printf -- '-r %s ' $requirements)
    cat $requirements > .venv/built-from
fi
../.venv/bin/python -m compileall -q standins.py 1 2 3
