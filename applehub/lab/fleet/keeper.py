"""Removes the ground's folder once the ground has ended: `python -m applehub.lab.fleet.keeper FOLDER`.

It waits for the end of its standard input, which comes however the ground ended. Its processes are killed by
the system at the same moment and may write a last file, so it looks again until nothing is left."""

import shutil
import sys
import time
from pathlib import Path

LOOKS = 50

if __name__ == "__main__":
    sys.stdin.buffer.read()
    folder = Path(sys.argv[1])
    for _ in range(LOOKS):
        shutil.rmtree(folder, ignore_errors=True)
        time.sleep(0.1)
        if not folder.exists():
            break
