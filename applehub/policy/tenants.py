"""Quotas of tenants, scaled to one router's fraction of the traffic."""

from applehub import interface as api
from applehub.policy.event_context import EventContext
from applehub.policy.rates import Rate, TokenBucket
from applehub.policy.throttle import MIN_CAPACITY


class Tenants:
    """Marks requests that exceed their tenant's quota."""

    def __init__(self, context: EventContext) -> None:
        self.context = context
        self.reset()

    def reset(self) -> None:
        """Starts with empty statistics for the tenants of the current settings."""
        self.request_rates = [
            Rate(4 * self.context.shortest_objective, self.context.now) for _ in self.context.settings.tenants
        ]
        self.token_buckets = [TokenBucket(now=self.context.now) for _ in self.context.settings.tenants]

    def is_over_quota(self, event: api.Request) -> bool:
        """Whether a request exceeds its tenant's quota, scaled to this router's fraction of the traffic."""
        tenants = self.context.settings.tenants
        if event.tenant >= len(tenants) or len(tenants) < 2 or not tenants[event.tenant].quota:
            return False
        if not event.repeat:
            self.request_rates[event.tenant].add(self.context.now)
        rated_tenants = zip(self.request_rates, tenants, strict=True)
        used_fractions = sorted(
            rate.per_second(self.context.now) / tenant.quota for rate, tenant in rated_tenants if tenant.quota
        )
        rate = tenants[event.tenant].quota * max(
            1 / self.context.settings.router_count, used_fractions[(len(used_fractions) - 1) // 2]
        )
        return not self.token_buckets[event.tenant].take(self.context.now, rate, max(MIN_CAPACITY, rate))
