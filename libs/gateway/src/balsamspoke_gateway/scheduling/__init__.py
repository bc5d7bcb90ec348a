"""Order in which requests are served where not all of them can be."""
