"""Reads of the catalogue from the object API."""

from dataclasses import dataclass, field

from balsamspoke_types.exceptions import ObjectNotFound, StoreError
from balsamspoke_types.objects import CATALOGUE_KINDS
from twisted.internet.defer import inlineCallbacks

from .changes import decode_stored
from .exceptions import NoSuchItem, PlatformUnavailable


@dataclass
class Catalogue:
    """Catalogue objects that were read from the object API.

    Attributes
    ----------
    stored : dict
        StoredObject by (kind, name).
    values : dict
        Decoded data class by (kind, name); lacks the objects that can't be decoded.
    revision : int
        Store revision up to which all objects are current; the lowest one of the
        pages that were read, since they may be of different revisions.
    """

    stored: dict = field(default_factory=dict)
    values: dict = field(default_factory=dict)
    revision: int = 0


@inlineCallbacks
def read_catalogue(store, kinds=CATALOGUE_KINDS):
    """Return a Deferred of the Catalogue in a store.

    Parameters
    ----------
    store : ObjectStore
        Object API to read from.
    kinds : iterable of Kind
        Kinds of object to read.

    Raises
    ------
    PlatformUnavailable
        If the object API can't be read.
    """
    catalogue = Catalogue()
    revisions = []
    for kind in kinds:
        page = ""
        while True:
            try:
                listing = yield store.list_page(kind, page)
            except StoreError as error:
                raise make_unavailable(error) from error
            _add_page(catalogue, listing)
            revisions.append(listing.revision)
            page = listing.next_page
            if not page:
                break
    catalogue.revision = min(revisions, default=0)
    return catalogue


@inlineCallbacks
def read_object(store, kind, name):
    """Return a Deferred of one StoredObject.

    Raises
    ------
    NoSuchItem
        If the object doesn't exist.
    PlatformUnavailable
        If the object API can't be read.
    """
    try:
        return (yield store.read(kind, name))
    except ObjectNotFound as error:
        raise NoSuchItem(f"{kind.value}/{name} doesn't exist") from error
    except StoreError as error:
        raise make_unavailable(error) from error


def make_unavailable(error):
    """Return a PlatformUnavailable that reports a StoreError."""
    return PlatformUnavailable(f"the object API is unavailable: {error}")


def _add_page(catalogue, page):
    for stored in page.objects:
        key = (stored.kind, stored.name)
        catalogue.stored[key] = stored
        value = decode_stored(stored)
        if value is not None:
            catalogue.values[key] = value
