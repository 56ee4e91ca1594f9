"""Measures gossip agents on a simulated network: propagation delay, convergence time and cost."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.streams import RandomStream, generator
from applehub.peers.agent import GossipAgent, OutgoingDatagram
from applehub.peers.codec import Peer, PeerState
from applehub.peers.records import RETENTION, Limit, Record, RecordKey, Shares, Verdict, digest
from applehub.settings import Json

FLEET = "lab"
SEED_ROUTERS = 5  # seed routers that every agent is configured with
CONVERGENCE_TIMEOUT = 120 * SECOND  # maximum wait for membership to converge


@dataclass(frozen=True, slots=True)
class GossipPlan:
    """Parameters of a simulation; loss is the fraction of datagrams lost."""

    routers: int
    period_ms: float = 50.0
    loss: float = 0.0
    near_ms: float = 0.3  # one-way delay within a zone
    far_ms: float = 8.0  # one-way delay between zones
    seconds: float = 10.0  # duration of the measured steady state
    cut_s: float = 0.0  # duration of a partition into two halves; 0: none
    kill: float = 0.0  # fraction of the routers that crash together


@dataclass(slots=True)
class Measurements:
    """Results of a simulation: rates per router and second in the steady state, and times (-1: timeout)."""

    known_s: float = -1.0  # time until all routers know all others
    verdict_ms: list[float] = field(default_factory=list)  # propagation delays to each other router
    # Ages of the records in use since their publication, by type.
    ages_ms: dict[str, list[float]] = field(default_factory=dict)
    bytes_out: float = 0.0
    datagrams: float = 0.0
    cpu_ms: float = 0.0
    healed_s: float = -1.0  # time until membership converges after the partition
    buried_s: float = -1.0  # time until the live routers consider exactly the crashed routers dead
    missing: int = 0  # verdict changes that a router never received
    records: int = 0  # maximum number of records in one store


class GossipSimulation:
    """A simulation of gossip agents, a clock and a network."""

    def __init__(self, plan: GossipPlan, seed: int) -> None:
        self.plan, self.clock, self.random = plan, Clock(), RandomStream(seed, "gossip")
        self.period = int(plan.period_ms * MILLI)
        names = [f"n{number}" for number in range(plan.routers)]
        incarnations = generator(seed, "lives").integers(1, 1 << 63, plan.routers).tolist()
        self.agents = [
            GossipAgent(
                Peer(incarnation, 0, PeerState.ALIVE, number.to_bytes(4), 1, name),
                FLEET,
                [seed_name for seed_name in names[:SEED_ROUTERS] if seed_name != name],
                int(incarnation),
                self.period,
            )
            for number, (name, incarnation) in enumerate(zip(names, incarnations, strict=True))
        ]
        self.index_by_name = {name: number for number, name in enumerate(names)}
        self.alive = [True] * plan.routers
        self.partitioned = False
        self.cpu_s, self.sampling_end = 0.0, 0
        self.publication_times: dict[tuple[int, str, int], int] = {}  # ns, by writer, type and version
        self.verdict_times: dict[tuple[int, int], int] = {}  # publication time (ns), by subject and writer
        # Subjects and writers of the verdicts that each router has not received, by router number.
        self.missing_verdicts: list[set[tuple[int, int]]] = [set() for _ in names]
        self.measured = Measurements()

    def _zone(self, number: int) -> int:
        return number * 2 // self.plan.routers

    def _start(self, number: int) -> None:
        self.clock.at(int(self.random.uniform() * self.period), self._tick, number)

    def _tick(self, number: int) -> None:
        if self.alive[number]:
            started_at = time.process_time()
            datagrams = self.agents[number].tick(self.clock.now)
            self.cpu_s += time.process_time() - started_at
            self._send(number, datagrams)
            self.clock.after(self.period, self._tick, number)

    def _send(self, number: int, datagrams: list[OutgoingDatagram]) -> None:
        plan = self.plan
        for recipient, payload in datagrams:
            receiver = self.index_by_name[recipient.name if isinstance(recipient, Peer) else recipient]
            cross_zone = self._zone(number) != self._zone(receiver)
            if (self.partitioned and cross_zone) or (plan.loss and self.random.uniform() < plan.loss):
                continue
            delay = (plan.far_ms if cross_zone else plan.near_ms) * (0.8 + 0.4 * self.random.uniform())
            self.clock.after(int(delay * MILLI), self._receive, (receiver, payload))

    def _receive(self, args: tuple[int, bytes]) -> None:
        number, payload = args
        if not self.alive[number]:
            return
        started_at = time.process_time()
        agent = self.agents[number]
        datagrams = agent.receive(self.clock.now, payload)
        self.cpu_s += time.process_time() - started_at
        received = [
            key for key in self.missing_verdicts[number] if RecordKey(Verdict, *key) in agent.store.records
        ]
        for key in received:
            self.missing_verdicts[number].discard(key)
            self.measured.verdict_ms.append((self.clock.now - self.verdict_times[key]) / MILLI)
        self._send(number, datagrams)

    def _converged(self) -> bool:
        live_count = sum(self.alive)
        return all(
            agent.membership.member_count == live_count
            for agent, up in zip(self.agents, self.alive, strict=True) if up
        )  # fmt: skip

    def _run_until_converged(self) -> float:
        """Runs until each live router knows exactly the live routers; returns the time, s (-1: timeout)."""
        started_at = self.clock.now
        while not self._converged():
            if self.clock.now - started_at > CONVERGENCE_TIMEOUT:
                return -1.0
            self.clock.run(self.clock.now + self.period // 2)
        return (self.clock.now - started_at) / SECOND

    def _received_records(self, number: int) -> Iterator[Record]:
        """Returns the records that a router holds from other routers."""
        agent = self.agents[number]
        return (record for key, record in agent.store.records.items() if key[2] != agent.member_id)

    def _publish_records(self, number: int) -> None:
        """Publishes the records of a router, and schedules the next publication."""
        agent, now = self.agents[number], self.clock.now
        for (kind, subject), own in list(agent.published.items()):
            if kind is Verdict and own.body is not None:
                agent.publish(now, Verdict(True, 3), subject)
        if agent.publishes_limits:
            agent.publish(now, Limit(10.0, 5.0))
            agent.publish(now, Shares(((1, 0.5), (2, 1.0))))
            for kind in (Limit, Shares):
                own = agent.published[kind, 0]
                self.publication_times[agent.member_id, kind.__name__, own.version] = own.published_at
        self.clock.after(SECOND // 4, self._publish_records, number)

    def _publish_verdict(self, count: int) -> None:
        """Publishes a verdict of a random router about a failing server, and withdraws it after 3 s."""
        number = self.random.below(len(self.agents))
        agent, subject = self.agents[number], digest(f"server {count}")
        agent.publish(self.clock.now, Verdict(True, 3), subject)
        key = subject, agent.member_id
        self.verdict_times[key] = self.clock.now
        for receiver, missing_verdicts in enumerate(self.missing_verdicts):
            if receiver != number:
                missing_verdicts.add(key)
        self.clock.after(3 * SECOND, lambda _: agent.withdraw(Verdict, subject))
        if self.clock.now < self.sampling_end:
            self.clock.after(SECOND // 5, self._publish_verdict, count + 1)

    def _sample_ages(self, _: None) -> None:
        """Samples the time since publication of the records that a random router uses."""
        number, now = self.random.below(len(self.agents)), self.clock.now
        store = self.agents[number].store
        self.measured.records = max(self.measured.records, len(store.records))
        for record in self._received_records(number):
            kind = type(record.body)
            published_at = self.publication_times.get((record.writer, kind.__name__, record.version))
            if published_at is not None and now - record.created_at <= RETENTION[kind].max_age:
                self.measured.ages_ms.setdefault(kind.__name__, []).append((now - published_at) / MILLI)
        if now < self.sampling_end:
            self.clock.after(SECOND // 20, self._sample_ages, None)

    def simulate(self) -> Measurements:
        """Starts all agents, measures the steady state, then applies the partition and the crashes."""
        plan, measured = self.plan, self.measured
        for number in range(plan.routers):
            self._start(number)
        measured.known_s = self._run_until_converged()
        for number in range(plan.routers):
            self.clock.after(int(self.random.uniform() * SECOND / 4), self._publish_records, number)
        self.clock.run(self.clock.now + 2 * SECOND)
        self.sampling_end = self.clock.now + int(plan.seconds * SECOND)
        self.clock.after(0, self._sample_ages, None)
        self.clock.after(0, self._publish_verdict, 0)
        self.cpu_s, sent = 0.0, [(agent.bytes_sent, agent.datagrams_sent) for agent in self.agents]
        self.clock.run(self.clock.now + int(plan.seconds * SECOND))
        router_seconds = plan.routers * plan.seconds
        measured.cpu_ms = self.cpu_s * 1000 / router_seconds
        pairs = list(zip(self.agents, sent, strict=True))
        measured.bytes_out = sum(agent.bytes_sent - before[0] for agent, before in pairs) / router_seconds
        measured.datagrams = sum(agent.datagrams_sent - before[1] for agent, before in pairs) / router_seconds
        settled_before = self.clock.now - RETENTION[Verdict].max_age
        measured.missing = sum(
            self.verdict_times[key] < settled_before for missing in self.missing_verdicts for key in missing
        )
        if plan.cut_s:
            self.partitioned = True
            self.clock.run(self.clock.now + int(plan.cut_s * SECOND))
            self.partitioned = False
            measured.healed_s = self._run_until_converged()
        if plan.kill:
            for number in range(int(plan.routers * plan.kill)):
                self.alive[(number * 7 + 3) % plan.routers] = False
            measured.buried_s = self._run_until_converged()
        return measured


def _percentile(values: list[float], fraction: float) -> float | None:
    values = sorted(values)
    return round(values[min(len(values) - 1, int(len(values) * fraction))], 1) if values else None


def summarize_run(plan: GossipPlan, measured: Measurements) -> Json:
    """Returns the measurements by name; each pair holds the median and the 99th percentile."""
    ages_by_type = sorted(measured.ages_ms.items())
    ages = {
        name.lower(): (_percentile(values, 0.5), _percentile(values, 0.99)) for name, values in ages_by_type
    }
    return {
        "routers": plan.routers, "loss": plan.loss, "known_s": round(measured.known_s, 2),
        "verdict_ms": (_percentile(measured.verdict_ms, 0.5), _percentile(measured.verdict_ms, 0.99)),
        "verdicts_missing": measured.missing, "ages_ms": ages, "bytes_s": round(measured.bytes_out),
        "datagrams_s": round(measured.datagrams, 1), "cpu_ms_s": round(measured.cpu_ms, 2),
        "records": measured.records, "healed_s": round(measured.healed_s, 2),
        "buried_s": round(measured.buried_s, 2),
    }  # fmt: skip
