"""Removes the folder of a test harness after its exit: `python -m applehub.lab.fleet.folder_cleanup FOLDER`.

Waits for the end of standard input, which closes even if the harness is killed. It retries, because child
processes of the harness may still write files while they exit."""

import shutil
import sys
import time
from pathlib import Path

ATTEMPTS = 50

if __name__ == "__main__":
    sys.stdin.buffer.read()
    folder = Path(sys.argv[1])
    for _ in range(ATTEMPTS):
        shutil.rmtree(folder, ignore_errors=True)
        time.sleep(0.1)
        if not folder.exists():
            break
