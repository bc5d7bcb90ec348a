"""Conditional writes that resolve lost replies.

If the reply to a write is lost, the object is read back or the write is repeated, to
find out whether it took effect.
"""

from balsamspoke_types.exceptions import (
    ObjectNotFound,
    StoreUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)
from twisted.internet.defer import inlineCallbacks

WRITE_ATTEMPTS = 8
# Sentinel for an object that wasn't read yet; None means that there is no object.
UNREAD = object()


@inlineCallbacks
def write_settled(store, kind, name, change, current=UNREAD):
    """Read, change and write an object until a write is known to have taken effect.

    Parameters
    ----------
    store : ObjectStore
        Client of the object API.
    kind : Kind
        Kind of the object.
    name : str
        Name of the object.
    change : callable
        Called with the current StoredObject, or None if there is none; returns
        the new value, or None to write nothing. Each value must contain an
        operation id of the caller, so that no other writer writes the same bytes.
        Called again with the object that it wrote, ``change`` must return None. An
        exception that it raises ends the operation.
    current : StoredObject, optional
        The object as the caller has read it; None if there was none. Read here by
        default.

    Returns
    -------
    Deferred of StoredObject or None
        The written object, or the current one if ``change`` returned None. Fails
        with StoreUnavailable if nothing was written, with WriteOutcomeUnknown if it
        couldn't be determined whether a write took effect, with VersionConflict if
        the last of ``WRITE_ATTEMPTS`` writes still conflicts, and with ObjectTooLarge
        if the object API refuses the size of the value.

    Notes
    -----
    If the reply to a write that took effect is lost, and another writer replaces the
    object before it is read back, ``change`` is called with that writer's value only.
    It must decide from that value, as after a conflict.
    """
    if current is UNREAD:
        current = yield _read(store, kind, name)
    unknown = None
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
            # The conflict returns the current object, which shows whether the earlier
            # writes took effect.
            unknown = None
        except WriteOutcomeUnknown as error:
            # If the write with the lost reply is still pending, the next one has the
            # same condition, so that only one of the two can take effect.
            failure = unknown = error
            current = yield _read_back(store, kind, name, unknown)
        except StoreUnavailable as error:
            raise unknown or error
    raise unknown or failure


@inlineCallbacks
def delete_settled(store, kind, name, version):
    """Delete an object; repeat the deletion while its replies are lost.

    Parameters
    ----------
    store : ObjectStore
        Client of the object API.
    kind : Kind
        Kind of the object.
    name : str
        Name of the object.
    version : int
        Version that the object must have.

    Returns
    -------
    Deferred of StoredObject or None
        The tombstone; None if the object is already deleted, by this operation or
        another writer. Fails with VersionConflict if the object has another version,
        with StoreUnavailable if nothing was written, and with WriteOutcomeUnknown
        if it couldn't be determined whether the deletion took effect.
    """
    unknown = None
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
            unknown = error
        except StoreUnavailable as error:
            raise unknown or error
    raise unknown


@inlineCallbacks
def _read(store, kind, name):
    try:
        return (yield store.read(kind, name))
    except ObjectNotFound:
        return None


@inlineCallbacks
def _read_back(store, kind, name, unknown):
    try:
        return (yield _read(store, kind, name))
    except StoreUnavailable as error:
        raise unknown from error
