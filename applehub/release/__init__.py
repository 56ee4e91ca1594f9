"""Staged releases: a plan, a pure machine that carries it out, halts and returns, and its model."""
