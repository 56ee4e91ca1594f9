"""Load tests of a router over loopback sockets, with fake servers and an open-loop client."""
