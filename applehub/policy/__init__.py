"""Every decision of one router. Its settings, events and actions: applehub/interface.py.

Requests likely to miss spend tokens of Berger's rate-control throttle, which shields the shared
origin; keys follow equal hash ranges over the sorted server list. docs/findings/ tells of the guards.
"""

from applehub.policy.balancer import Balancer

__all__ = ["Balancer"]
