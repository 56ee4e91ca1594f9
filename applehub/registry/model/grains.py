"""The two grains of the model."""

from collections.abc import Callable, Iterator
from functools import partial

from applehub.registry.actions import MessageReceived
from applehub.registry.messages import RequestVote
from applehub.registry.model.state import GROUP, Envelope, State
from applehub.registry.model.steps import Model, Step
from applehub.registry.replica_state import Role


class FineModel(Model):
    """Each message, sync, timeout and crash by itself."""

    def steps(self, state: State) -> Iterator[Step]:
        """All that may happen next."""
        yield from self.common_steps(state)
        for envelope in dict.fromkeys(state.messages):
            sender, receiver, message = envelope
            what = f"{type(message).__name__} {sender} to {receiver}"
            yield f"deliver {what}", partial(self.deliver, envelope=envelope)
            yield f"double {what}", partial(self.deliver, envelope=envelope, doubled=True)
            yield f"lose {what}", partial(State.take, envelope=envelope)
        for replica_id in GROUP:
            replica = state.replicas[replica_id]
            if state.unsynced[replica_id]:
                yield f"sync {replica_id}", partial(self.sync, replica_id=replica_id)
            if replica.role is Role.LEADER:
                yield f"heartbeat {replica_id}", partial(self.send_heartbeat, replica_id=replica_id)
            elif replica.term < self.bounds.terms:
                yield f"time out {replica_id}", partial(self.time_out, replica_id=replica_id)


class CoarseModel(Model):
    """Elections and rounds of replication between two replicas; what is sent to the third is lost."""

    def steps(self, state: State) -> Iterator[Step]:
        """All that may happen next."""
        for name, step in self.common_steps(state):  # what these send is lost, and sent again with a round
            yield name, partial(self._run_apart, step=step)
        yield "wait", self.wait
        for replica_id in GROUP:
            for other in GROUP:
                if other != replica_id:
                    yield from self._pair_steps(state, replica_id, other)
        for envelope in state.messages:
            yield f"late {envelope[0]} to {envelope[1]}", partial(self._deliver_late, envelope=envelope)

    def _pair_steps(self, state: State, one: int, other: int) -> Iterator[Step]:
        """What may happen between two replicas, by the doing of the first."""
        replica = state.replicas[one]
        if replica.role is Role.LEADER:
            yield f"replicate {one} {other}", partial(self._replicate, one=one, other=other)
            for answer in (False, True) if len(state.messages) < self.bounds.delayed else ():
                what = "an answer to" if answer else "from"
                yield (
                    f"delay {what} {one}, {other}",
                    partial(self._delay, one=one, other=other, answer=answer),
                )
        elif replica.term < self.bounds.terms:
            yield f"pre-vote {one} {other}", partial(self._hold_pre_vote, one=one, other=other)
        if replica.role is Role.CANDIDATE and not replica.pre_vote:
            yield f"vote {one} {other}", partial(self._hold_vote, one=one, other=other)

    def _settle(self, state: State) -> None:
        """What waits for a disk is synced at once: to lose it is no other than to lose the messages behind
        it. Where nothing waits for the disk, what is not synced stays so until the replica's next own
        step."""
        for replica_id in GROUP:
            if self.holds_back:
                self.sync(state, replica_id)

    def _exchange(self, state: State, one: int, other: int, turns: int = 1) -> None:
        """What the first has sent reaches the other, and the answer comes back; no more of it."""
        for sender, receiver in ((one, other), (other, one)) * turns:
            self._settle(state)
            envelopes = state.between(sender, receiver)
            state.messages = ()
            for _, _, message in envelopes:
                self.handle(state, receiver, MessageReceived(sender, message))
        self._settle(state)
        state.messages = ()

    def _run_apart(self, state: State, step: Callable[[State], None]) -> None:
        """Does something in which the delayed messages have no part."""
        delayed: tuple[Envelope, ...] = state.messages
        state.messages = ()
        step(state)
        self._settle(state)
        state.messages = delayed

    def _hold_pre_vote(self, state: State, one: int, other: int) -> None:
        """It becomes a candidate if the other would vote for it; asks for no vote yet."""

        def ask(state: State) -> None:
            replica = state.replicas[one]
            for _ in range(2):  # the first may only bring it a later term
                self.time_out(state, one)
                self._exchange(state, one, other)
                if replica.role is Role.CANDIDATE and not replica.pre_vote:
                    break

        self._run_apart(state, ask)

    def _hold_vote(self, state: State, one: int, other: int) -> None:
        """It gets the other's vote, or not; what it sends as leader is lost."""

        def ask(state: State) -> None:
            replica = state.replicas[one]
            request = RequestVote(replica.term, False, replica.last_index, replica.last_term)
            state.messages = ((one, other, request),)
            self._exchange(state, one, other)

        self._run_apart(state, ask)

    def _replicate(self, state: State, one: int, other: int) -> None:
        def replicate(state: State) -> None:
            self.send_heartbeat(state, one)
            self._exchange(state, one, other, 2)  # a response without success brings what was lost before

        self._run_apart(state, replicate)

    def _delay(self, state: State, one: int, other: int, answer: bool) -> None:
        """What the leader sends the other comes later, or comes now and its answer later."""
        delayed: tuple[Envelope, ...] = state.messages
        state.messages = ()
        self.send_heartbeat(state, one)
        self._settle(state)
        envelopes = state.between(one, other)[:1]
        state.messages = ()
        if answer and envelopes:
            self.handle(state, other, MessageReceived(one, envelopes[0][2]))
            self._settle(state)
            envelopes = state.between(other, one)[:1]
        state.messages = (*delayed, *envelopes)

    def _deliver_late(self, state: State, envelope: Envelope) -> None:
        """It comes at last; the answer is lost."""
        state.messages = tuple(one for one in state.messages if one != envelope)
        delayed: tuple[Envelope, ...] = state.messages
        sender, receiver, message = envelope
        self.handle(state, receiver, MessageReceived(sender, message))
        self._settle(state)
        state.messages = delayed
