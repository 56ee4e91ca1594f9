"""The open-loop workload of a scenario, drawn completely before the simulation starts."""

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from applehub.lab.clock import SECOND
from applehub.lab.spec import Burst, HotKey, Keys, Ramp, Scan, Scenario, Shift, Shrink
from applehub.lab.streams import generator

RATE_STEP_S = 0.02  # time step of the rate curve
FIRST_HOT_KEY, FIRST_ONE_OFF_KEY = 1 << 40, 1 << 41  # greater than all other key numbers
Floats = NDArray[np.float64]
Ints = NDArray[np.int64]


@dataclass(slots=True)
class Workload:
    """Requests in order of arrival: times in ns, work in ns on a core of speed 1, keys as 16 hex digits."""

    times: list[int]
    classes: list[int]
    zones: list[int]
    keys: list[str]
    work: list[int]
    keys_by_popularity: list[str]  # initial keys, most popular first
    read_rate: float
    pooled_key_count: int  # most popular keys that one pooled cache needs for its hit ratio


def fleet_capacity(scenario: Scenario) -> float:
    """Returns the work that all warm servers do per second, in seconds on a core of speed 1."""
    kinds = scenario.topology.kinds
    total = sum(kind.share for kind in kinds)
    return scenario.topology.servers * sum(kind.share / total * kind.cores * kind.speed for kind in kinds)


def base_rate(scenario: Scenario) -> float:
    """Returns the request rate without faults, in requests per second."""
    classes = scenario.workload.classes
    total = sum(request_class.share for request_class in classes)
    work = sum(request_class.share / total * request_class.work_ms / 1000 for request_class in classes)
    return scenario.workload.load * fleet_capacity(scenario) / work


def _trapezoid(times: Floats, begin: float, length: float, edge: float) -> Floats:
    """Returns a trapezoid that rises from 0 to 1 and falls to 0 within `length`, with edges of `edge`."""
    points = [begin, begin + edge, max(begin + edge, begin + length - edge), begin + length + 1e-9]
    return np.interp(times, points, [0, 1, 1, 0])


def rate_curve(scenario: Scenario, times: Floats) -> Floats:
    """Returns the request rate at these times (s), in requests per second."""
    load = scenario.workload
    rates = base_rate(scenario) * (1 + load.wave * np.sin(2 * np.pi * times / load.wave_s))
    for fault in scenario.faults:
        if isinstance(fault, Burst):
            rates = rates * (
                1 + (fault.factor - 1) * _trapezoid(times, fault.at_s, fault.for_s, fault.edge_s)
            )
        elif isinstance(fault, Ramp):
            rates = rates * np.interp(times, [fault.at_s, fault.at_s + fault.for_s], [1, fault.factor])
        elif isinstance(fault, Shrink):
            end = fault.at_s + fault.for_s
            rates = rates * np.interp(times, [fault.at_s - 2, end - 2], [1, 1 - fault.part])
    return np.maximum(rates, 0)


def _draw_arrivals(scenario: Scenario, seed: int) -> Floats:
    """Draws the arrival times (s) of an inhomogeneous Poisson process, by inverting its cumulative rate."""
    random_generator = generator(seed, "arrivals")
    curve_times = np.arange(0, scenario.seconds + RATE_STEP_S, RATE_STEP_S)
    rates = rate_curve(scenario, curve_times)
    cumulative_rate = np.concatenate(([0.0], np.cumsum((rates[1:] + rates[:-1]) / 2 * RATE_STEP_S)))
    positions = (
        np.sort(random_generator.random(random_generator.poisson(cumulative_rate[-1]))) * cumulative_rate[-1]
    )
    times: Floats = np.interp(positions, cumulative_rate, curve_times)
    return times[times < scenario.seconds]


def _cumulative_popularity(keys: Keys, count: int) -> Floats:
    """Returns the cumulative distribution of the key ranks."""
    shares = 1 / (np.arange(count) + 1 + keys.offset) ** keys.skew
    cumulative: Floats = np.cumsum(shares) / shares.sum()
    return cumulative


def _mix_bits(numbers: NDArray[np.uint64]) -> NDArray[np.uint64]:
    """Mixes numbers over all 64 bits with the finalizer of splitmix64, so that keys hash like random ids."""
    mixed = numbers + np.uint64(0x9E3779B97F4A7C15)
    mixed = (mixed ^ (mixed >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    mixed = (mixed ^ (mixed >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return mixed ^ (mixed >> np.uint64(31))


def _format_keys(numbers: Ints) -> list[str]:
    """Formats key numbers as hex digits; equal keys share one string object."""
    unique_numbers, indexes = np.unique(numbers, return_inverse=True)
    with np.errstate(over="ignore"):
        texts = [f"{number:016x}" for number in _mix_bits(unique_numbers.astype(np.uint64)).tolist()]
    return [texts[index] for index in indexes.tolist()]


def _draw_keys(scenario: Scenario, seed: int, times: Floats) -> tuple[Ints, Floats, int]:
    """Returns the key number of each request, the cumulative popularity by rank, and the number of ranks."""
    random_generator, keys = generator(seed, "keys"), scenario.workload.keys
    count = keys.per_server * scenario.topology.servers
    popularity = _cumulative_popularity(keys, count)
    ranks = np.searchsorted(popularity, random_generator.random(len(times)))
    # A key number encodes the rank and the generation, because the key of each rank is replaced separately.
    generations = np.floor(times * keys.drift_per_s + random_generator.random(count)[ranks]).astype(np.int64)
    numbers: Ints = generations * count + ranks
    for index, fault in enumerate(scenario.faults):
        if isinstance(fault, HotKey | Scan):
            random_generator = generator(seed, f"fault {index}")
            affected = (times >= fault.at_s) & (times < fault.at_s + fault.for_s)
            affected &= random_generator.random(len(times)) < fault.share
            if isinstance(fault, HotKey):
                fault_keys = (
                    FIRST_HOT_KEY + index * 1000 + random_generator.integers(fault.keys, size=len(times))
                )
            else:
                fault_keys = FIRST_ONE_OFF_KEY + index * len(times) + np.arange(len(times))
            numbers = np.where(affected, fault_keys, numbers)
    return numbers, popularity, count


def _draw_zones(scenario: Scenario, seed: int, times: Floats) -> Ints:
    """Draws the client zone of each request."""
    random_generator, count = generator(seed, "zones"), len(scenario.topology.zones)
    weights = 1 + scenario.workload.zone_skew * (2 * random_generator.random(count) - 1)
    zones = np.searchsorted(np.cumsum(weights) / weights.sum(), random_generator.random(len(times)))
    for index, fault in enumerate(scenario.faults):
        if isinstance(fault, Shift):
            moved = (times >= fault.at_s) & (times < fault.at_s + fault.for_s)
            moved &= generator(seed, f"fault {index}").random(len(times)) < fault.share
            zones = np.where(moved, fault.zone, zones)
    return np.minimum(zones, count - 1).astype(np.int64)


def _draw_work(scenario: Scenario, seed: int, classes: Ints) -> Ints:
    """Draws lognormal work with each class's mean and coefficient of variation."""
    normals = generator(seed, "work").standard_normal(len(classes))
    work = np.zeros(len(classes))
    for number, request_class in enumerate(scenario.workload.classes):
        sigma = np.sqrt(np.log1p(request_class.work_cv**2))
        drawn = request_class.work_ms * 1e6 * np.exp(sigma * normals - sigma**2 / 2)
        work = np.where(classes == number, drawn, work)
    return np.maximum(work, 1000).astype(np.int64)


def draw_workload(scenario: Scenario, seed: int) -> Workload:
    """Draws all requests of a scenario."""
    times = _draw_arrivals(scenario, seed)
    shares = np.array([request_class.share for request_class in scenario.workload.classes])
    drawn = generator(seed, "classes").random(len(times))
    classes = np.searchsorted(np.cumsum(shares) / shares.sum(), drawn).astype(np.int64)
    classes = np.minimum(classes, len(shares) - 1)
    numbers, popularity, count = _draw_keys(scenario, seed, times)
    read_share = sum(spec.share for spec in scenario.workload.classes if not spec.write) / shares.sum()
    pooled_key_count = int(np.searchsorted(popularity, scenario.workload.keys.pooled_hits)) + 1
    return Workload(
        (times * SECOND).astype(np.int64).tolist(),
        classes.tolist(),
        _draw_zones(scenario, seed, times).tolist(),
        _format_keys(numbers),
        _draw_work(scenario, seed, classes).tolist(),
        _format_keys(np.arange(count)),  # the first generation of each rank
        base_rate(scenario) * read_share,
        pooled_key_count,
    )
