"""Entry point of the router process: sets up logging, reads the configuration, and serves."""

import asyncio
import gc
import logging
import os
import signal
import sys

from applehub.node.arrivals import TimedEventLoop
from applehub.node.configuration import Configuration, ConfigurationError, read_configuration
from applehub.node.router import Router

EXIT_BAD_CONFIGURATION = 2
log = logging.getLogger("applehub")


async def serve(configuration: Configuration, path: str | None = None) -> None:
    """Runs the router until SIGTERM, then shuts it down gracefully.

    path: the configuration file, read again on SIGHUP. Raises ConfigurationError if the router cannot listen
    at a configured address or write to a configured folder.
    """
    router = Router(configuration, path)
    await router.start()
    await router.stopping.wait()
    log.info("stopping: received SIGTERM")
    await router.stop()


def main() -> int:
    """Runs the program; returns its exit code: 0 after SIGTERM, 2 if the configuration is invalid."""
    level = os.environ.get("APPLEHUB_LOG", "INFO")
    logging.basicConfig(stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger("asyncio").setLevel(logging.INFO)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the router installs its own handler
    path = os.environ.get("BALANCER_CONFIG")
    try:
        configuration = read_configuration(path)
        gc.freeze()
        with asyncio.Runner(loop_factory=TimedEventLoop) as runner:
            runner.run(serve(configuration, path))
    except ConfigurationError as error:
        print(f"applehub: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return 0


if __name__ == "__main__":
    sys.exit(main())
