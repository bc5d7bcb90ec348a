"""The cores of the entry and side processes, built from ports alone."""
