"""Identifies the boot of the machine, within which all processes share one monotonic clock."""

import os

BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


def boot_id() -> str:
    """Returns the kernel's identifier of the current boot.

    Monotonic times are comparable between processes with the same identifier. Returns an empty string if the
    kernel does not provide one; the times of other processes are then unusable.
    """
    try:
        descriptor = os.open(BOOT_ID_PATH, os.O_RDONLY)
        try:
            return os.read(descriptor, 64).decode("ascii", "replace").strip()
        finally:
            os.close(descriptor)
    except OSError:
        return ""
