"""Errors that more than one library raises or handles."""


class BalsamspokeError(Exception):
    """Base class of the errors of this project."""


class IdentifierError(BalsamspokeError):
    """A string could not be parsed as an identifier of the expected type."""


class StoreError(BalsamspokeError):
    """Base class of the errors of the object API."""


class StoreUnavailable(StoreError):
    """The object API did not answer a read, or a write certainly had no effect."""


class StoreCutOff(StoreUnavailable):
    """The object API closed the connection in good order before its answer's end."""


class StoreSilent(StoreUnavailable):
    """The object API did not answer in time on a connection that stayed open."""


class WriteOutcomeUnknown(StoreError):
    """A write was sent but its answer was lost; it may have taken effect."""


class ObjectNotFound(StoreError):
    """The requested object does not exist."""


class VersionConflict(StoreError):
    """The precondition of a write failed; nothing was written.

    Attributes
    ----------
    current : StoredObject or None
        The current object; None if there is none.
    """

    def __init__(self, message, current=None):
        super().__init__(message)
        self.current = current


class ObjectTooLarge(StoreError):
    """The value exceeds the object API's size limit; nothing was written."""


class WatchExpired(StoreError):
    """The object API no longer keeps the events after the given revision."""


class VmListUnavailable(BalsamspokeError):
    """The VM list could not be fetched."""


class BackendError(BalsamspokeError):
    """Base class of the errors of a backend server."""


class BackendUnreachable(BackendError):
    """The request was not delivered because no connection could be made."""


class BackendLost(BackendError):
    """The connection was lost after the request was sent; the request may have run."""


class BackendRefused(BackendError):
    """The backend server rejected the request without running it.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    """

    def __init__(self, message, status):
        super().__init__(message)
        self.status = status
