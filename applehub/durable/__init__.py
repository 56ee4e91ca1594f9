"""State that outlives a process: a value is on disk complete or not at all, and checked when it is read.

`folder` holds the few operations on files that a store needs, `frame` the form of a file, `store` one value
in two generations.
"""
