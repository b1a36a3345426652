"""Fleet membership among relays, and the group size from which each relay derives its share of quotas."""
