"""Replicas as one entry process sees them: entries, load, health and holds."""
