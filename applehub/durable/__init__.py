"""Durable storage of single values, replaced atomically and verified by a checksum when read.

`folder` has the file operations that a store needs, `frame` the file format, and `store` the store itself,
which keeps the last two generations of a value.
"""
