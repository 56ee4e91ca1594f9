"""Runs a stand-in process of the test harness: `python -m applehub.lab.fleet.standin ROLE`."""

import asyncio
import sys
from importlib import import_module

from applehub.lab.fleet.control import serve

MODULES_BY_ROLE = {
    "relay": "relay", "cache": "servers", "origin": "servers", "list": "list_service_standin",
    "clients": "clients",
}  # fmt: skip

if __name__ == "__main__":
    asyncio.run(serve(import_module(f"applehub.lab.fleet.{MODULES_BY_ROLE[sys.argv[1]]}").begin))
