"""Gossip between router processes: membership, origin limits, key range fractions and health verdicts.

The package does no I/O: it opens no socket, reads no clock and draws random numbers only from seeded
generators. `applehub.node.peering` sends its datagrams over UDP, `applehub.lab` over a simulated network.

- `records`: the records that routers publish about themselves and about servers.
- `record_store`: the records that a process has received, with the merge rule and the size limits.
- `codec`: the wire format of a datagram.
- `member_table`: the known router processes, and the precedence of conflicting descriptions of one of them.
- `membership`: failure detection by SWIM: probes, suspicion and refutation.
- `agent`: the gossip state machine of one process, from ticks and datagrams to datagrams to send.
- `fleet_view`: the state of the fleet, computed from the records of one process.
- `policy_adapter`: the translation between the agent and the decision module.
"""
