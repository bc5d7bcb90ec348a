"""Read the whole catalogue from the object API."""

from dataclasses import dataclass, field

from balsamspoke_types.exceptions import StoreError
from balsamspoke_types.objects import CATALOGUE_KINDS
from twisted.internet.defer import inlineCallbacks

from .changes import decode_stored
from .exceptions import PlatformUnavailable


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
                raise PlatformUnavailable(f"the object API: {error}") from error
            _add_page(catalogue, found)
            revisions.append(found.revision)
            page = found.next_page
            if not page:
                break
    catalogue.revision = min(revisions, default=0)
    return catalogue


def _add_page(catalogue, page):
    for stored in page.objects:
        key = (stored.kind, stored.name)
        catalogue.stored[key] = stored
        value = decode_stored(stored)
        if value is not None:
            catalogue.values[key] = value
