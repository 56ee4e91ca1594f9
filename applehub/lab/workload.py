"""What clients will ask for in a day, drawn whole before it begins: arrivals never wait for answers."""

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from applehub.lab.clock import SECOND
from applehub.lab.spec import Burst, Day, HotKey, Keys, Ramp, Scan, Shift, Shrink
from applehub.lab.streams import generator

GRID = 0.02  # s between points of the rate's curve
HOT_KEYS, ONCE_KEYS = 1 << 40, 1 << 41  # where the numbers of hot and of one-off keys begin
Floats = NDArray[np.float64]
Ints = NDArray[np.int64]


@dataclass(slots=True)
class Workload:
    """Requests by arrival: times in ns, work in ns on a core of speed 1, keys as 16 hex digits."""

    times: list[int]
    classes: list[int]
    zones: list[int]
    keys: list[str]
    works: list[int]
    popular: list[str]  # the keys at the beginning, most popular first
    reads_a_second: float
    pooled: int  # how many of the popular keys make up the wanted hits of one cache


def capacity_of(day: Day) -> float:
    """What all warm servers do in a second, in seconds on a core of speed 1."""
    kinds = day.topology.kinds
    total = sum(kind.share for kind in kinds)
    return day.topology.servers * sum(kind.share / total * kind.cores * kind.speed for kind in kinds)


def base_rate(day: Day) -> float:
    """Requests a second before any fault."""
    classes = day.workload.classes
    total = sum(one.share for one in classes)
    work = sum(one.share / total * one.work_ms / 1000 for one in classes)
    return day.workload.load * capacity_of(day) / work


def _trapezoid(at: Floats, begin: float, length: float, edge: float) -> Floats:
    """From 0 to 1 and back: rises from its beginning on, falls to its end."""
    points = [begin, begin + edge, max(begin + edge, begin + length - edge), begin + length + 1e-9]
    return np.interp(at, points, [0, 1, 1, 0])


def rate_curve(day: Day, at: Floats) -> Floats:
    """The rate at these times (s), in requests a second."""
    load = day.workload
    curve = base_rate(day) * (1 + load.wave * np.sin(2 * np.pi * at / load.wave_s))
    for fault in day.faults:
        if isinstance(fault, Burst):
            curve = curve * (1 + (fault.factor - 1) * _trapezoid(at, fault.at_s, fault.for_s, fault.edge_s))
        elif isinstance(fault, Ramp):
            curve = curve * np.interp(at, [fault.at_s, fault.at_s + fault.for_s], [1, fault.factor])
        elif isinstance(fault, Shrink):
            end = fault.at_s + fault.for_s
            curve = curve * np.interp(at, [fault.at_s - 2, end - 2], [1, 1 - fault.part])
    return np.maximum(curve, 0)


def _arrivals(day: Day, seed: int) -> Floats:
    """Poisson arrivals: as many as the curve's area draws, spread by the inverse of that area."""
    draw = generator(seed, "arrivals")
    at = np.arange(0, day.seconds + GRID, GRID)
    curve = rate_curve(day, at)
    area = np.concatenate(([0.0], np.cumsum((curve[1:] + curve[:-1]) / 2 * GRID)))
    spread = np.sort(draw.random(draw.poisson(area[-1]))) * area[-1]
    times: Floats = np.interp(spread, area, at)
    return times[times < day.seconds]


def _popularity(keys: Keys, count: int) -> Floats:
    shares = 1 / (np.arange(count) + 1 + keys.offset) ** keys.skew
    whole: Floats = np.cumsum(shares) / shares.sum()
    return whole


def _mixed(numbers: NDArray[np.uint64]) -> NDArray[np.uint64]:
    """Spreads numbers over all 64 bits (the finalizer of splitmix64), so that keys hash as ids do."""
    mixed = numbers + np.uint64(0x9E3779B97F4A7C15)
    mixed = (mixed ^ (mixed >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    mixed = (mixed ^ (mixed >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return mixed ^ (mixed >> np.uint64(31))


def _texts(numbers: Ints) -> list[str]:
    """One text for each number; equal keys share one."""
    known, places = np.unique(numbers, return_inverse=True)
    with np.errstate(over="ignore"):
        texts = [f"{number:016x}" for number in _mixed(known.astype(np.uint64)).tolist()]
    return [texts[place] for place in places.tolist()]


def _numbers(day: Day, seed: int, times: Floats) -> tuple[Ints, Floats, int]:
    """A key's number for each request, the popularity by rank, and how many keys there are at a time."""
    draw, keys = generator(seed, "keys"), day.workload.keys
    count = keys.per_server * day.topology.servers
    popularity = _popularity(keys, count)
    ranks = np.searchsorted(popularity, draw.random(len(times)))
    # Each rank's key is renewed at times of its own: a key's number tells its rank and its turn.
    turns = np.floor(times * keys.drift_per_s + draw.random(count)[ranks]).astype(np.int64)
    numbers: Ints = turns * count + ranks
    for place, fault in enumerate(day.faults):
        if isinstance(fault, HotKey | Scan):
            draw = generator(seed, f"fault {place}")
            struck = (times >= fault.at_s) & (times < fault.at_s + fault.for_s)
            struck &= draw.random(len(times)) < fault.share
            if isinstance(fault, HotKey):
                others = HOT_KEYS + place * 1000 + draw.integers(fault.keys, size=len(times))
            else:
                others = ONCE_KEYS + place * len(times) + np.arange(len(times))
            numbers = np.where(struck, others, numbers)
    return numbers, popularity, count


def _zones(day: Day, seed: int, times: Floats) -> Ints:
    draw, count = generator(seed, "zones"), len(day.topology.zones)
    weights = 1 + day.workload.zone_skew * (2 * draw.random(count) - 1)
    zones = np.searchsorted(np.cumsum(weights) / weights.sum(), draw.random(len(times)))
    for place, fault in enumerate(day.faults):
        if isinstance(fault, Shift):
            moved = (times >= fault.at_s) & (times < fault.at_s + fault.for_s)
            moved &= generator(seed, f"fault {place}").random(len(times)) < fault.share
            zones = np.where(moved, fault.zone, zones)
    return np.minimum(zones, count - 1).astype(np.int64)


def _works(day: Day, seed: int, classes: Ints) -> Ints:
    """Lognormal work with each class's mean and coefficient of variation."""
    normal = generator(seed, "work").standard_normal(len(classes))
    works = np.zeros(len(classes))
    for number, one in enumerate(day.workload.classes):
        spread = np.sqrt(np.log1p(one.work_cv**2))
        drawn = one.work_ms * 1e6 * np.exp(spread * normal - spread**2 / 2)
        works = np.where(classes == number, drawn, works)
    return np.maximum(works, 1000).astype(np.int64)


def draw_workload(day: Day, seed: int) -> Workload:
    """All requests of a day."""
    times = _arrivals(day, seed)
    shares = np.array([one.share for one in day.workload.classes])
    drawn = generator(seed, "classes").random(len(times))
    classes = np.searchsorted(np.cumsum(shares) / shares.sum(), drawn).astype(np.int64)
    classes = np.minimum(classes, len(shares) - 1)
    numbers, popularity, count = _numbers(day, seed, times)
    reads = sum(one.share for one in day.workload.classes if not one.write) / shares.sum()
    pooled = int(np.searchsorted(popularity, day.workload.keys.pooled_hits)) + 1
    return Workload(
        (times * SECOND).astype(np.int64).tolist(),
        classes.tolist(),
        _zones(day, seed, times).tolist(),
        _texts(numbers),
        _works(day, seed, classes).tolist(),
        _texts(np.arange(count)),  # a rank's first turn is 0
        base_rate(day) * reads,
        pooled,
    )
