"""Conditional writes whose lost replies are settled by reading back."""

from balsamspoke_types.exceptions import (
    ObjectNotFound,
    StoreUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)
from twisted.internet.defer import inlineCallbacks

WRITE_ATTEMPTS = 8
# Stands for a current object that wasn't read yet; None stands for no object.
UNREAD = object()


@inlineCallbacks
def write_settled(store, kind, name, change, current=UNREAD):
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
        again with the written object, ``change`` returns None. What it raises
        ends the operation.
    current : StoredObject, optional
        What the caller has read already; None if there was no object.

    Returns
    -------
    Deferred of StoredObject or None
        What ``change`` left in place. Fails with StoreUnavailable if certainly
        nothing was written, with WriteOutcomeUnknown if that couldn't be settled,
        and with VersionConflict if other writers win every time.

    Notes
    -----
    If the write took effect, its reply was lost and another writer replaced the
    object before it was read back, ``change`` sees only that writer's value. It
    must then decide from that value, as after a conflict.
    """
    if current is UNREAD:
        current = yield _read(store, kind, name)
    unsettled = None
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
            # The conflict shows the newest state, which settles earlier writes.
            unsettled = None
        except WriteOutcomeUnknown as error:
            # If the lost write is still on its way, the next one has the same
            # condition, so that only one of the two can take effect.
            failure = unsettled = error
            current = yield _read_back(store, kind, name, unsettled)
        except StoreUnavailable as error:
            raise unsettled or error
    raise unsettled or failure


@inlineCallbacks
def delete_settled(store, kind, name, version):
    """Delete an object, settling lost replies.

    Parameters
    ----------
    version : int
        The version that must be the object's current one.

    Returns
    -------
    Deferred of StoredObject or None
        The tombstone; None if somebody's deletion, perhaps this one, was found to
        have taken effect. Fails as ``write_settled`` does.
    """
    unsettled = None
    for _ in range(WRITE_ATTEMPTS):
        try:
            return (yield store.delete(kind, name, version))
        except ObjectNotFound:
            return None
        except VersionConflict as error:
            if error.current is None:
                return None
            raise
        except WriteOutcomeUnknown as error:
            unsettled = error
        except StoreUnavailable as error:
            raise unsettled or error
    raise unsettled


@inlineCallbacks
def _read(store, kind, name):
    try:
        return (yield store.read(kind, name))
    except ObjectNotFound:
        return None


@inlineCallbacks
def _read_back(store, kind, name, unsettled):
    try:
        return (yield _read(store, kind, name))
    except StoreUnavailable as error:
        raise unsettled from error
