"""Forwarding of requests to replicas, and of their answers to callers."""
