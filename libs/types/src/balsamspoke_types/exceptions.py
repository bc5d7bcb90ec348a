"""Errors that more than one library raises or handles."""


class BalsamspokeError(Exception):
    """Base of every error of this project."""


class IdentifierError(BalsamspokeError):
    """A text isn't an identifier of the expected kind."""


class StoreError(BalsamspokeError):
    """Base of the errors of the object API."""


class StoreUnavailable(StoreError):
    """The object API did not answer a read, or certainly did not take a write."""


class WriteOutcomeUnknown(StoreError):
    """A write was sent and its answer is lost; it may or may not have taken effect."""


class ObjectNotFound(StoreError):
    """The object doesn't exist."""


class VersionConflict(StoreError):
    """The condition of a write doesn't hold; nothing was written.

    Attributes
    ----------
    current : StoredObject or None
        What the object API holds now; None if there is no such object.
    """

    def __init__(self, message, current=None):
        super().__init__(message)
        self.current = current


class ObjectTooLarge(StoreError):
    """The value is over the object API's limit; nothing was written."""


class WatchExpired(StoreError):
    """The object API no longer has the events since the given revision."""


class VmListUnavailable(BalsamspokeError):
    """The VM list did not answer."""


class BackendError(BalsamspokeError):
    """Base of the errors of a backend server."""


class BackendUnreachable(BackendError):
    """The order was not delivered: the connection was never made."""


class BackendLost(BackendError):
    """The connection was lost after the order was sent; it may have been run."""


class BackendRefused(BackendError):
    """The backend server answered that it did not run the order.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    """

    def __init__(self, message, status):
        super().__init__(message)
        self.status = status
