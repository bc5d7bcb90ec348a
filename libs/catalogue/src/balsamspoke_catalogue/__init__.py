"""Catalogue objects, their validation and the in-force view."""
