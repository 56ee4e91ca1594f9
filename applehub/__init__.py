"""A request router for cache servers that share one slow origin."""
