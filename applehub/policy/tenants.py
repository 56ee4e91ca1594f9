"""What each tenant may send, cut to one router's part of the traffic."""

from applehub import interface as api
from applehub.policy.rates import Bank, Rate
from applehub.policy.throttle import LEAST_TOTAL
from applehub.policy.turn import Turn


class Tenants:
    """Marks requests over their tenant's quota."""

    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.know()

    def know(self) -> None:
        self.shares = [Rate(4 * self.turn.shortest_aim, self.turn.now) for _ in self.turn.settings.tenants]
        self.banks = [Bank(at=self.turn.now) for _ in self.turn.settings.tenants]

    def over_share(self, event: api.Request) -> bool:
        """Marks what exceeds the tenant's quota, cut to this router's part of the traffic."""
        quotas = self.turn.settings.tenants
        if event.tenant >= len(quotas) or len(quotas) < 2 or not quotas[event.tenant].quota:
            return False
        if not event.repeat:
            self.shares[event.tenant].add(self.turn.now)
        both = zip(self.shares, quotas, strict=True)
        used = sorted(rate.per_second(self.turn.now) / one.quota for rate, one in both if one.quota)
        rate = quotas[event.tenant].quota * max(
            1 / self.turn.settings.router_count, used[(len(used) - 1) // 2]
        )
        return not self.banks[event.tenant].take(self.turn.now, rate, max(LEAST_TOTAL, rate))
