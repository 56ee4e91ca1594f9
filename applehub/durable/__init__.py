"""What outlives a process: whole or absent, checked when read."""
