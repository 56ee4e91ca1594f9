"""The list service: a versioned list of cache servers, replicated with Raft over three replicas.

It runs as a separate program (`python -m applehub.registry`); the node process imports nothing from it."""
