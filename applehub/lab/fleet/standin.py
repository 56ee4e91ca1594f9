"""One of the ground's own processes, by its role: `python -m applehub.lab.fleet.standin ROLE`."""

import asyncio
import sys
from importlib import import_module

from applehub.lab.fleet.control import serve

ROLES = {"relay": "relay", "cache": "servers", "origin": "servers", "list": "listing", "clients": "clients"}

if __name__ == "__main__":
    asyncio.run(serve(import_module(f"applehub.lab.fleet.{ROLES[sys.argv[1]]}").begin))
