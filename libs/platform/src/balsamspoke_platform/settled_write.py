"""Conditional writes whose lost replies are settled by reading back."""

from balsamspoke_types.exceptions import (
    ObjectNotFound,
    VersionConflict,
    WriteOutcomeUnknown,
)
from twisted.internet.defer import inlineCallbacks

WRITE_ATTEMPTS = 8


@inlineCallbacks
def write_settled(store, kind, name, change):
    """Read, change and write an object until one write certainly took effect.

    Parameters
    ----------
    store : ObjectStore
        The object API.
    kind : Kind
        Kind of the object.
    name : str
        Name of the object.
    change : callable
        Called with the current StoredObject, or None if there is none; returns
        the new value, or None to write nothing. Each value carries an operation
        id of the caller, so that no other writer writes the same bytes; called
        again with the written object, ``change`` returns None.

    Returns
    -------
    Deferred of StoredObject or None
        What ``change`` left in place. Fails with WriteOutcomeUnknown or
        StoreUnavailable if the object API goes on failing, and with
        VersionConflict if other writers win every time.

    Notes
    -----
    If the write took effect, its reply was lost and another writer replaced the
    object before it was read back, ``change`` sees only that writer's value. It
    must then decide from that value, as after a conflict.
    """
    current = yield _read(store, kind, name)
    for _ in range(WRITE_ATTEMPTS):
        value = change(current)
        if value is None:
            return current
        try:
            if current is None:
                return (yield store.create(kind, name, value))
            return (yield store.update(kind, name, value, current.version))
        except VersionConflict as error:
            failure = error
            current = error.current
        except WriteOutcomeUnknown as error:
            # If the lost write is still on its way, the next one has the same
            # condition, so that only one of the two can take effect.
            failure = error
            current = yield _read(store, kind, name)
    raise failure


@inlineCallbacks
def _read(store, kind, name):
    try:
        return (yield store.read(kind, name))
    except ObjectNotFound:
        return None
