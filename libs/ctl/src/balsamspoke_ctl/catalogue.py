"""Read the whole catalogue from the object API."""

from dataclasses import dataclass, field

from balsamspoke_types.exceptions import ObjectNotFound, StoreError
from balsamspoke_types.objects import CATALOGUE_KINDS
from twisted.internet.defer import inlineCallbacks

from .changes import decode_stored
from .exceptions import NoSuchItem, PlatformUnavailable


@dataclass
class Catalogue:
    """The catalogue as the object API has it.

    Attributes
    ----------
    stored : dict
        StoredObjects by kind and name.
    values : dict
        Their data classes; without those that can't be decoded.
    revision : int
        The store's revision that it is up to.
    """

    stored: dict = field(default_factory=dict)
    values: dict = field(default_factory=dict)
    revision: int = 0


@inlineCallbacks
def read_catalogue(store, kinds=CATALOGUE_KINDS):
    """Return a Deferred of a Catalogue; fails with PlatformUnavailable."""
    catalogue = Catalogue()
    revisions = []
    for kind in kinds:
        page = ""
        while True:
            try:
                found = yield store.list_page(kind, page)
            except StoreError as error:
                raise make_unavailable(error) from error
            _add_page(catalogue, found)
            revisions.append(found.revision)
            page = found.next_page
            if not page:
                break
    catalogue.revision = min(revisions, default=0)
    return catalogue


@inlineCallbacks
def read_object(store, kind, name):
    """Return a Deferred of a StoredObject.

    It fails with NoSuchItem or PlatformUnavailable.
    """
    try:
        return (yield store.read(kind, name))
    except ObjectNotFound as error:
        raise NoSuchItem(f"{kind.value}/{name} doesn't exist") from error
    except StoreError as error:
        raise make_unavailable(error) from error


def make_unavailable(error):
    """Return the PlatformUnavailable for a StoreError."""
    return PlatformUnavailable(f"the object API is unavailable: {error}")


def _add_page(catalogue, page):
    for stored in page.objects:
        key = (stored.kind, stored.name)
        catalogue.stored[key] = stored
        value = decode_stored(stored)
        if value is not None:
            catalogue.values[key] = value
