"""One play: a day, a policy and a seed, with the day's faults."""

from applehub.lab.faults import Faults
from applehub.lab.spec import Day
from applehub.lab.world import World
from applehub.settings import Json


def stage(day: Day, policy: str, seed: int) -> World:
    """A world with its faults planned, ready to be played."""
    world = World(day, policy, seed)
    Faults(world)
    return world


def play(day: Day, policy: str, seed: int) -> Json:
    """The figures of one play."""
    return stage(day, policy, seed).play()
