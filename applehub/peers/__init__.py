"""What the router processes share by gossip: membership, origin limits, range shares and health verdicts.

The package is pure: it opens no socket, reads no clock and draws random numbers only from a seeded generator.
`applehub.node.peering` carries its datagrams over UDP, `applehub.lab` over a simulated network.

- `records`: what routers publish about themselves and about servers.
- `record_store`: the records that a process holds, with the merge rule and its bounds.
- `codec`: the wire form of a datagram.
- `member_table`: the processes that a process knows, and which telling of one of them wins.
- `membership`: SWIM's probes, suspicion and refutation over that table.
- `agent`: one process: ticks and datagrams in, datagrams out.
- `fleet_view`: the fleet as one process sees it, computed from the records that it holds.
- `policy_adapter`: translates between the agent and the decision module.
"""
