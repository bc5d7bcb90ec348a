"""Shared identifiers, typed messages, errors and ports."""
