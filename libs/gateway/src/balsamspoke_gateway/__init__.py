"""Routing, placement and admission decisions of the entry and side processes."""
