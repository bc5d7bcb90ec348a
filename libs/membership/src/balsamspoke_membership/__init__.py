"""Which processes are live, leaving or gone."""
