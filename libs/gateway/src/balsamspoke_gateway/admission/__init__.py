"""Admission of prompts at replicas where prefill makes other streams late."""
