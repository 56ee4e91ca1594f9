"""Builds and runs the simulation of a scenario, including its faults."""

from applehub.lab.faults import FaultInjector
from applehub.lab.simulation import Simulation
from applehub.lab.spec import Scenario
from applehub.settings import Json


def build_simulation(scenario: Scenario, policy: str, seed: int) -> Simulation:
    """Returns a simulation with its faults scheduled, ready to run."""
    simulation = Simulation(scenario, policy, seed)
    FaultInjector(simulation)
    return simulation


def run_simulation(scenario: Scenario, policy: str, seed: int) -> Json:
    """Runs one simulation and returns its results."""
    return build_simulation(scenario, policy, seed).run()
