"""Catalogue objects, the versions in force, and their distribution to processes."""

from .codec import decode_members, decode_object, encode_object
from .exceptions import CatalogueError
from .settings import CatalogueSettings
from .synchronizer import CatalogueSynchronizer
from .validation import digest_key, validate_catalogue
from .view import CatalogueView, FoundKey

__all__ = [
    "CatalogueError",
    "CatalogueSettings",
    "CatalogueSynchronizer",
    "CatalogueView",
    "FoundKey",
    "decode_members",
    "decode_object",
    "digest_key",
    "encode_object",
    "validate_catalogue",
]
