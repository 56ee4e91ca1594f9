"""Decision module of a router. Settings, events and actions are defined in applehub/interface.py."""

from applehub.policy.balancer import Balancer

__all__ = ["Balancer"]
