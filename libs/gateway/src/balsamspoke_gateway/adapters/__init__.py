"""Adapters at a replica: the plan of loads, demand, popularity and versions."""
