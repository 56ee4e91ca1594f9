"""Whether one process can use another's monotonic times: all read one clock until the machine restarts."""

import os

BOOT_ID = "/proc/sys/kernel/random/boot_id"


def boot_id() -> str:
    """Names the time since the machine's last restart, in which all its processes share a monotonic clock.

    Empty if the system does not tell it: then times of another process are of no use.
    """
    try:
        descriptor = os.open(BOOT_ID, os.O_RDONLY)
        try:
            return os.read(descriptor, 64).decode("ascii", "replace").strip()
        finally:
            os.close(descriptor)
    except OSError:
        return ""
