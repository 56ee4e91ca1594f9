"""HTTP client of a controller for its agents."""

import asyncio
import errno
import logging
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp

from applehub.release.errors import LocalFailureError, MessageError
from applehub.release.messages import AgentStatus, LoadReport, OrderMessage, OrderOutcome, Rejection

REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, MessageError)
# Errors caused by exhausted resources or a missing network on this machine, not by a fault of an agent.
LOCAL_ERRORS = frozenset(
    (
        errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH,
        errno.ENETDOWN,
    )
)  # fmt: skip
log = logging.getLogger("applehub.release")


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The status of all units at one poll.

    `reports` maps unit names to load reports, or to None if the unit or its agent did not respond. Units that
    could not be polled because of an error of this machine have no entry. `silent_agents` is the number of
    agents that did not respond.
    """

    outcomes: Mapping[str, OrderOutcome] = field(default_factory=dict)
    reports: Mapping[str, LoadReport | None] = field(default_factory=dict)
    silent_agents: int = 0


class AgentClient:
    """Client of the agents of one release."""

    def __init__(self, session: aiohttp.ClientSession, agents: Mapping[str, str]) -> None:
        """Takes the address of each unit's agent."""
        self.session = session
        self._agents = agents

    async def poll(self) -> FleetStatus:
        """Polls all agents concurrently."""
        addresses = list(dict.fromkeys(self._agents.values()))
        async with asyncio.TaskGroup() as tasks:
            polls = {address: tasks.create_task(self._poll_agent(address)) for address in addresses}
        statuses = {address: poll.result() for address, poll in polls.items()}
        outcomes: dict[str, OrderOutcome] = {}
        reports: dict[str, LoadReport | None] = {}
        for unit, address in self._agents.items():
            status = statuses[address]
            if isinstance(status, LocalFailureError):
                continue
            unit_status = None if status is None else status.units.get(unit)
            reports[unit] = None if unit_status is None else unit_status.report
            if unit_status is not None and unit_status.outcome is not None:
                outcomes[unit] = unit_status.outcome
        return FleetStatus(outcomes, reports, sum(status is None for status in statuses.values()))

    async def send(self, message: OrderMessage) -> str:
        """Sends an order. Returns the reason if the agent rejects it, and an empty string otherwise.

        Connection errors are only logged, because the state machine sends an order without an outcome again.
        """
        order = message.order
        headers = {"Content-Type": "application/json"}
        url = f"http://{self._agents[order.unit]}/v1/orders"
        try:
            async with self.session.post(url, data=message.encode(), headers=headers) as response:
                if response.status >= HTTPStatus.BAD_REQUEST:
                    return Rejection.decode(await response.read()).error or f"status {response.status}"
        except REQUEST_ERRORS as error:
            log.info("order not delivered: unit %s, step %s, error %r", order.unit, order.step, error)
        return ""

    async def _poll_agent(self, address: str) -> AgentStatus | LocalFailureError | None:
        """Returns an agent's status, None if the agent does not respond, or an error of this machine."""
        try:
            async with self.session.get(f"http://{address}/v1/units") as response:
                return AgentStatus.decode(await response.read())
        except REQUEST_ERRORS as error:
            if isinstance(error, OSError) and error.errno in LOCAL_ERRORS:
                return LocalFailureError(f"{address}: {error}")
            return None
