"""Replica choice, retries and the outcome of each attempt."""
