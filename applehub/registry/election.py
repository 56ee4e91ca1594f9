"""Leader election: pre-votes, votes, and the rules that protect the lease of a leader."""

from dataclasses import dataclass

from applehub.registry.actions import Action, Send
from applehub.registry.messages import RequestVote, RequestVoteResponse
from applehub.registry.replica_state import FollowerProgress, Role
from applehub.registry.replication import Replication


@dataclass(slots=True)
class Election(Replication):
    """A replica that takes part in elections."""

    def _tick(self, jitter: float, actions: list[Action]) -> None:
        if self.role is Role.LEADER:
            for follower, progress in self.progress.items():
                if self.now - progress.sent_at >= self.timing.heartbeat:
                    self._send_entries(follower, actions)
            # A leader without a majority steps down, so that clients find a new leader sooner.
            if max(self.lease_until(), self.leader_since) + 2 * self.timing.election < self.now:
                self._become_follower(self.term, None)
                self._postpone_election(jitter)
        elif self.now >= self.election_due:
            self._postpone_election(jitter)
            self._start_pre_vote(actions)

    def _postpone_election(self, jitter: float) -> None:
        self.election_due = self.now + int(self.timing.election * (1 + jitter))

    def _start_pre_vote(self, actions: list[Action]) -> None:
        """Starts a pre-vote, which changes neither term nor vote and therefore saves nothing."""
        self.role = Role.CANDIDATE
        self.leader = None
        self.pre_vote = True
        self._request_votes(self.term + 1, actions)

    def _start_election(self, actions: list[Action]) -> None:
        """Starts a new term. The own vote of this replica is saved before other votes are requested."""
        self.pre_vote = False
        self.term += 1
        self.voted_for = self.replica_id
        self._save_vote(actions)
        self._request_votes(self.term, actions)

    def _request_votes(self, term: int, actions: list[Action]) -> None:
        self.votes = frozenset({self.replica_id})
        for member in self.members:
            if member != self.replica_id:
                request = RequestVote(term, self.pre_vote, self.last_index, self.last_term)
                actions.append(Send(member, request))
        self._count_votes(actions)

    def _count_votes(self, actions: list[Action]) -> None:
        if len(self.votes) < self.majority:
            return
        if self.pre_vote:
            self._start_election(actions)
            return
        self.role = Role.LEADER
        self.leader = self.replica_id
        self.leader_since = self.now
        others = (member for member in self.members if member != self.replica_id)
        self.progress = {member: FollowerProgress(self.last_index + 1) for member in others}
        # Entries of earlier terms are committed only with an entry of the current term (Raft, 5.4.2).
        self._propose((b"",), actions)

    def _receive_vote_request(self, sender: int, request: RequestVote, actions: list[Action]) -> None:
        """Answers a vote request, unless a leader may still hold its lease.

        A follower or candidate ignores vote requests within the minimum election timeout after contact with
        a leader, and a leader ignores them while it holds its lease (Ongaro's thesis, 4.2.3)."""
        is_leader = self.role is Role.LEADER
        if (
            self.lease_until() > self.now
            if is_leader
            else self.now - self.leader_contact < self.timing.election
        ):
            return
        up_to_date = (request.last_term, request.last_index) >= (self.last_term, self.last_index)
        if request.pre_vote:
            granted = request.term > self.term and up_to_date
            term = request.term if granted else self.term
            actions.append(Send(sender, RequestVoteResponse(term, True, granted)))
            return
        previous = (self.term, self.voted_for)
        if request.term > self.term:
            self._become_follower(request.term, None)
        may_vote = self.role is Role.FOLLOWER and self.voted_for in (None, sender)
        granted = request.term == self.term and up_to_date and may_vote
        if granted:
            self.voted_for = sender
            self.election_due = self.now + 2 * self.timing.election
        if (self.term, self.voted_for) != previous:
            self._save_vote(actions)
        actions.append(Send(sender, RequestVoteResponse(self.term, False, granted)))

    def _receive_vote_response(
        self, sender: int, response: RequestVoteResponse, actions: list[Action]
    ) -> None:
        if response.term > self.term and not (response.pre_vote and response.granted):
            self._become_follower(response.term, None)
            self._save_vote(actions)
        elif self._is_current_vote(response):
            self.votes |= {sender}
            self._count_votes(actions)

    def _is_current_vote(self, response: RequestVoteResponse) -> bool:
        """Returns whether a vote was granted for the election or pre-vote in progress."""
        term = self.term + 1 if self.pre_vote else self.term
        return (
            self.role is Role.CANDIDATE
            and response.granted
            and response.pre_vote is self.pre_vote
            and response.term == term
        )
