"""What the router processes tell one another: who is there, limits, affinity, verdicts. All of it pure."""
