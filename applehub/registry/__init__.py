"""The list service: which servers there are, in versions that never go back, kept by three replicas.

A program of its own (`python -m applehub.registry`); nothing of `run` imports from it."""
