"""The lab on real sockets: stand-ins for all that a router meets, and an open-loop load."""
