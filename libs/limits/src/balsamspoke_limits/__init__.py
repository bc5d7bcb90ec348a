"""Token buckets and the division of team budgets over processes."""
