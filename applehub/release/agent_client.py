"""The controller's side of the HTTP interface of agents."""

import asyncio
import errno
import logging
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp

from applehub.release.errors import LocalFailureError, MessageError
from applehub.release.messages import AgentStatus, LoadReport, OrderMessage, OrderOutcome, Refusal

REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=2.0)  # s
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, MessageError)
# Errors that say nothing of an agent: this machine lacks a resource, or has no network.
LOCAL_ERRORS = frozenset(
    (
        errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH,
        errno.ENETDOWN,
    )
)  # fmt: skip
log = logging.getLogger("applehub.release")


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """What all agents report at one poll.

    reports: by unit; None where it or its agent did not answer, no entry where this machine could not ask.
    """

    outcomes: Mapping[str, OrderOutcome] = field(default_factory=dict)
    reports: Mapping[str, LoadReport | None] = field(default_factory=dict)
    silent_agents: int = 0


class AgentClient:
    """The agents of one release."""

    def __init__(self, session: aiohttp.ClientSession, agents: Mapping[str, str]) -> None:
        """agents: the address of each unit's agent."""
        self.session = session
        self._agents = agents

    async def poll(self) -> FleetStatus:
        """Asks all agents at once."""
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
        """Sends an order; why the agent does not accept it, empty if it does.

        An order that does not arrive is not an error: the state machine sends it again.
        """
        order = message.order
        headers = {"Content-Type": "application/json"}
        url = f"http://{self._agents[order.unit]}/v1/orders"
        try:
            async with self.session.post(url, data=message.encode(), headers=headers) as response:
                if response.status >= HTTPStatus.BAD_REQUEST:
                    return Refusal.decode(await response.read()).error or f"status {response.status}"
        except REQUEST_ERRORS as error:
            log.info("%s: %s did not arrive: %r", order.unit, order.step, error)
        return ""

    async def _poll_agent(self, address: str) -> AgentStatus | LocalFailureError | None:
        """What an agent reports; None: it does not answer."""
        try:
            async with self.session.get(f"http://{address}/v1/units") as response:
                return AgentStatus.decode(await response.read())
        except REQUEST_ERRORS as error:
            if isinstance(error, OSError) and error.errno in LOCAL_ERRORS:
                return LocalFailureError(f"{address}: {error}")
            return None
