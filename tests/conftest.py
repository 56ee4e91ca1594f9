"""The event loop of the tests is the router's own."""

import asyncio
from collections.abc import Callable, Mapping

from applehub.node import arrivals


def pytest_asyncio_loop_factories() -> Mapping[str, Callable[[], asyncio.AbstractEventLoop]]:
    return {"router": arrivals.Loop}
