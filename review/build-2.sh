#!/bin/sh
# Builds what cases 6 to 10 start beside the router. Their stand-ins are Python scripts that use the standard library
# alone and run with the environment of the deploy file's build; only their syntax is checked. Case 6 starts the
# project's list service, in an environment with its own requirements (review/.venv); without it, that case exits
# with 2. Needs the package registry, as the deploy file's build does.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python - <<'PYTHON' || exit 1
import ast
from pathlib import Path

for path in ["review/standins2.py", *(f"review/{number}/case.py" for number in range(6, 11))]:
    ast.parse(Path(path).read_text(), path)
PYTHON
requirements="requirements.txt requirements-registry.txt"
if ! cat $requirements | cmp -s - review/.venv/built-from; then
    rm -rf review/.venv
    python3 -m venv review/.venv \
        && review/.venv/bin/pip -q install -r requirements.txt -r requirements-registry.txt \
        && cat $requirements > review/.venv/built-from \
        || rm -rf review/.venv
fi
