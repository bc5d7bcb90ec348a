"""Connections to replicas, to callers and to other processes of the system."""
