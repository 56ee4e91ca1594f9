"""The two models, which differ in the granularity of their steps."""

from collections.abc import Callable, Iterator
from functools import partial

from applehub.registry.actions import MessageReceived
from applehub.registry.messages import RequestVote
from applehub.registry.model.state import GROUP, Envelope, State
from applehub.registry.model.steps import Model, Step
from applehub.registry.replica_state import Role


class FineModel(Model):
    """The model in which each message, sync, timeout and crash is a separate step."""

    def steps(self, state: State) -> Iterator[Step]:
        """Yields all possible next steps."""
        yield from self.common_steps(state)
        for envelope in dict.fromkeys(state.messages):
            sender, receiver, message = envelope
            label = f"{type(message).__name__} {sender} to {receiver}"
            yield f"deliver {label}", partial(self.deliver, envelope=envelope)
            yield f"double {label}", partial(self.deliver, envelope=envelope, duplicate=True)
            yield f"lose {label}", partial(State.remove_message, envelope=envelope)
        for replica_id in GROUP:
            replica = state.replicas[replica_id]
            if state.unsynced[replica_id]:
                yield f"sync {replica_id}", partial(self.sync, replica_id=replica_id)
            if replica.role is Role.LEADER:
                yield f"heartbeat {replica_id}", partial(self.send_heartbeat, replica_id=replica_id)
            elif replica.term < self.bounds.terms:
                yield f"time out {replica_id}", partial(self.time_out, replica_id=replica_id)


class CoarseModel(Model):
    """The model in which a step is an election or replication round of two replicas.

    Messages to the third replica are lost."""

    def steps(self, state: State) -> Iterator[Step]:
        """Yields all possible next steps."""
        for name, step in self.common_steps(state):  # the messages that these steps send are lost
            yield name, partial(self._run_isolated, step=step)
        yield "wait", self.wait
        for replica_id in GROUP:
            for peer in GROUP:
                if peer != replica_id:
                    yield from self._pair_steps(state, replica_id, peer)
        for envelope in state.messages:
            yield f"late {envelope[0]} to {envelope[1]}", partial(self._deliver_late, envelope=envelope)

    def _pair_steps(self, state: State, initiator: int, peer: int) -> Iterator[Step]:
        """Yields the steps that a replica can initiate with a peer."""
        replica = state.replicas[initiator]
        if replica.role is Role.LEADER:
            yield f"replicate {initiator} {peer}", partial(self._replicate, initiator=initiator, peer=peer)
            for answer in (False, True) if len(state.messages) < self.bounds.delayed else ():
                label = "an answer to" if answer else "from"
                yield (
                    f"delay {label} {initiator}, {peer}",
                    partial(self._delay, initiator=initiator, peer=peer, answer=answer),
                )
        elif replica.term < self.bounds.terms:
            yield f"pre-vote {initiator} {peer}", partial(self._run_pre_vote, initiator=initiator, peer=peer)
        if replica.role is Role.CANDIDATE and not replica.pre_vote:
            yield f"vote {initiator} {peer}", partial(self._run_vote, initiator=initiator, peer=peer)

    def _sync_all(self, state: State) -> None:
        """Syncs all disks, since losing unsynced writes is equivalent to losing the messages after them.

        If the host does not wait for syncs, unsynced writes stay unsynced."""
        for replica_id in GROUP:
            if self.delays_until_sync:
                self.sync(state, replica_id)

    def _exchange(self, state: State, initiator: int, peer: int, rounds: int = 1) -> None:
        """Delivers the messages of the initiator to the peer and the responses; loses all other messages."""
        for sender, receiver in ((initiator, peer), (peer, initiator)) * rounds:
            self._sync_all(state)
            envelopes = state.messages_between(sender, receiver)
            state.messages = ()
            for _, _, message in envelopes:
                self.handle(state, receiver, MessageReceived(sender, message))
        self._sync_all(state)
        state.messages = ()

    def _run_isolated(self, state: State, step: Callable[[State], None]) -> None:
        """Runs a step while delayed messages stay delayed; loses the messages that the step sends."""
        delayed: tuple[Envelope, ...] = state.messages
        state.messages = ()
        step(state)
        self._sync_all(state)
        state.messages = delayed

    def _run_pre_vote(self, state: State, initiator: int, peer: int) -> None:
        """Runs a pre-vote between two replicas, without the vote requests after it."""

        def run_pre_vote(state: State) -> None:
            replica = state.replicas[initiator]
            for _ in range(2):  # the first round may only raise the term of the initiator
                self.time_out(state, initiator)
                self._exchange(state, initiator, peer)
                if replica.role is Role.CANDIDATE and not replica.pre_vote:
                    break

        self._run_isolated(state, run_pre_vote)

    def _run_vote(self, state: State, initiator: int, peer: int) -> None:
        """Runs a vote between two replicas; the messages of a new leader are lost."""

        def run_vote(state: State) -> None:
            replica = state.replicas[initiator]
            request = RequestVote(replica.term, False, replica.last_index, replica.last_term)
            state.messages = ((initiator, peer, request),)
            self._exchange(state, initiator, peer)

        self._run_isolated(state, run_vote)

    def _replicate(self, state: State, initiator: int, peer: int) -> None:
        def replicate(state: State) -> None:
            self.send_heartbeat(state, initiator)
            self._exchange(
                state, initiator, peer, 2
            )  # the second round resends entries that were lost earlier

        self._run_isolated(state, replicate)

    def _delay(self, state: State, initiator: int, peer: int, answer: bool) -> None:
        """Delays a message of the leader or, with `answer`, the response to it."""
        delayed: tuple[Envelope, ...] = state.messages
        state.messages = ()
        self.send_heartbeat(state, initiator)
        self._sync_all(state)
        envelopes = state.messages_between(initiator, peer)[:1]
        state.messages = ()
        if answer and envelopes:
            self.handle(state, peer, MessageReceived(initiator, envelopes[0][2]))
            self._sync_all(state)
            envelopes = state.messages_between(peer, initiator)[:1]
        state.messages = (*delayed, *envelopes)

    def _deliver_late(self, state: State, envelope: Envelope) -> None:
        """Delivers a delayed message; the response is lost."""
        state.messages = tuple(other for other in state.messages if other != envelope)
        delayed: tuple[Envelope, ...] = state.messages
        sender, receiver, message = envelope
        self.handle(state, receiver, MessageReceived(sender, message))
        self._sync_all(state)
        state.messages = delayed
