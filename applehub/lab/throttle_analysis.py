"""Compares the throttle with Berger's analysis, for Poisson job arrivals and evenly spaced tokens.

Source: A. W. Berger, "Performance Analysis of a Rate-Control Throttle where Tokens and Jobs Queue", section
III. The state just before a token arrives is a Markov chain, Z' = max(min(Z + 1, C_T) - V, -C_J), V Poisson
with the load as its mean. A token is blocked where Z = C_T, and
throughput = r (1 - P(token blocked)) = load r (1 - P(job blocked)).
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from applehub import interface as api
from applehub.lab.compare import Mean, mean_of
from applehub.lab.streams import generator
from applehub.policy.job import Job
from applehub.policy.rates import SECOND
from applehub.policy.throttle import Throttle

BATCHES = 20  # batches of a run; the spread of their means gives the confidence interval
RATE = 100.0  # tokens per second
LOADS = (0.5, 0.8, 1.0, 1.2, 2.0)  # job arrivals per token
CAPACITIES = ((10, 0), (10, 5), (10, 8), (20, 0), (20, 10))  # (C_J + C_T, C_J): total and job buffer


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table; throughput is relative to r, and blocked is a fraction of the jobs offered."""

    total: int
    buffer: int
    load: float
    throughput: Mean
    blocked: Mean
    chain_throughput: float
    chain_blocked: float

    @property
    def agrees(self) -> bool:
        """True if the blocking probability of the chain lies within the measured 95% interval."""
        return abs(self.blocked.value - self.chain_blocked) <= (self.blocked.half or 0.0) + 1e-4


def analyze_chain(total: int, load: float) -> tuple[float, float]:
    """Returns the throughput relative to r and the blocking probability of the chain in steady state."""
    size = total + 1  # states 0..total, the paper's Z + C_J
    arrivals = [math.exp(-load + k * math.log(load) - math.lgamma(k + 1)) for k in range(size)]
    transitions = np.zeros((size, size))
    for state in range(size):
        after = min(state + 1, total)
        for remaining in range(1, after + 1):
            transitions[state, remaining] = arrivals[after - remaining]
        transitions[state, 0] = 1 - transitions[state, 1:].sum()
    equations = np.vstack([transitions.T - np.eye(size), np.ones(size)])
    steady = np.linalg.lstsq(equations, np.append(np.zeros(size), 1.0), rcond=None)[0]
    throughput = 1 - float(steady[-1])
    return throughput, 1 - throughput / load


def simulate(total: int, buffer: int, load: float, count: int, seed: int) -> tuple[Mean, Mean]:
    """Simulates the throttle under Poisson arrivals; returns throughput / r and the fraction blocked."""
    throttle = Throttle(0, RATE, total)
    throttle.bank, throttle.buffer = total - buffer, buffer
    throttle.level = throttle.bank
    interarrivals = generator(seed, f"throttle {total} {buffer} {load}").exponential(
        SECOND / (RATE * load), count
    )
    times = np.cumsum(interarrivals).astype(np.int64).tolist()
    spec = api.RequestClass(latency_objective=SECOND, deadline=SECOND)
    throughputs, blocked_fractions, blocked, batch_start, batch_size = [], [], 0, 0, max(1, count // BATCHES)
    for number, now in enumerate(times, 1):
        throttle.refill(now)
        job = Job(api.Request(str(number), 0, now), spec, now)
        blocked += throttle.offer(job) is False
        if number % batch_size == 0:
            blocked_fractions.append(blocked / batch_size)
            throughputs.append((batch_size - blocked) / ((now - batch_start) * RATE / SECOND))
            blocked, batch_start = 0, now
    return mean_of(throughputs), mean_of(blocked_fractions)


def table(count: int, seed: int) -> Iterator[Row]:
    """Yields a row for each capacity and load, simulated with `count` jobs."""
    for total, buffer in CAPACITIES:
        for load in LOADS:
            throughput, blocked = simulate(total, buffer, load, count, seed)
            yield Row(total, buffer, load, throughput, blocked, *analyze_chain(total, load))
