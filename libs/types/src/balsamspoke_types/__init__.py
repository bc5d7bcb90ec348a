"""Identifiers, typed messages, errors and ports that the other libraries share."""
