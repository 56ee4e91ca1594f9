"""Emulator of the system around the router, for experiments and tests; no part of the router itself."""
