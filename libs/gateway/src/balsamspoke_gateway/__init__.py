"""Decisions of the entry processes and side processes for requests passed on as is."""
