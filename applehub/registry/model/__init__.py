"""A model checker for the Raft implementation.

The checker explores all states of three replicas, up to a depth, under lost, delayed and duplicated messages,
crashes, restarts and disks that refuse writes.

There are two models. A step of `FineModel` is one message, sync, timeout or crash. A step of `CoarseModel`
is a complete election or replication round between two replicas, possibly with delayed messages, so that
exploration reaches states of many terms.

    python -m applehub.registry.model --coarse 7 --fine 10"""
