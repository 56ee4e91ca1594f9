"""Staged releases of cache servers, routers and their configuration, with health gates and rollback."""
