"""Cluster test harness: runs router and stand-in processes, injects faults and checks invariants."""
