"""Checks the agreement as a model: three replicas under lost, late and doubled messages, crashes, restarts
and disks that refuse writes, in every order to a depth, each state once.

Two grains. `FineModel` steps: one message, one sync, one timeout, one crash at a time. `CoarseModel` steps:
an election or a round of replication between two replicas at once, with messages that come late; so it
reaches what takes many terms.

    python -m applehub.registry.model --coarse 7 --fine 10"""
