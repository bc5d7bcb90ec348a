"""Sequential writes to the object API that resolve unknown outcomes."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_platform import delete_settled, write_settled
from balsamspoke_types.exceptions import (
    StoreError,
    StoreUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)
from balsamspoke_types.timing import sleep
from twisted.internet.defer import inlineCallbacks

from .catalogue import make_unavailable
from .changes import (
    Action,
    decode_stored,
    encode_with_operation,
    get_members,
    read_operation,
)
from .exceptions import PlatformUnavailable, WriteConflict, WriteUnsettled

RETRY_INTERVAL = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class WrittenChange:
    """A change that took effect in the object API.

    Attributes
    ----------
    change : Change
        The change.
    revision : int
        Store revision of the write; only a lower bound for a deletion if the object
        was already gone.
    is_ours : bool
        Whether this tool wrote it; False if another writer made the same change.
        Always True for a deletion.
    """

    change: object
    revision: int
    is_ours: bool = True


class ChangeWriter:
    """Writer of Changes to the object API.

    Parameters
    ----------
    store : ObjectStore
        Object API to write to.
    clock : Clock
        Clock of the retries.
    random_source : random.Random
        Source of operation ids.
    retry_timeout : timedelta
        How long a write with an unknown outcome is retried.
    """

    def __init__(self, store, clock, random_source, retry_timeout):
        self._store = store
        self._clock = clock
        self._random = random_source
        self._retry_timeout = retry_timeout

    @inlineCallbacks
    def write_all(self, changes, on_written):
        """Write Changes in order.

        Continues after a conflict or an unknown outcome, and stops once the object API
        is unavailable.

        Parameters
        ----------
        changes : iterable of Change
            Changes to write; those with Action.UNCHANGED are skipped.
        on_written : callable
            Called with the WrittenChange of each write that succeeds.

        Returns
        -------
        Deferred of int
            Highest revision written; 0 if nothing was written.

        Raises
        ------
        ExceptionGroup
            With the CtlError of each write that failed.
        """
        revision, failures = 0, []
        for change in changes:
            if change.action is Action.UNCHANGED:
                continue
            try:
                written = yield self.write(change)
            except (WriteConflict, WriteUnsettled) as error:
                failures.append(error)
            except PlatformUnavailable as error:
                failures.append(error)
                break
            else:
                on_written(written)
                revision = max(revision, written.revision)
        if failures:
            raise ExceptionGroup("some changes were not written", failures)
        return revision

    @inlineCallbacks
    def write(self, change):
        """Write one Change; return a Deferred of its WrittenChange.

        Raises
        ------
        WriteConflict
            If another writer changed the object since it was read.
        WriteUnsettled
            If the outcome is still unknown after ``retry_timeout``.
        PlatformUnavailable
            If the object API fails before any attempt's outcome is unknown, or rejects
            the write.
        """
        deadline = self._clock.monotonic() + self._retry_timeout
        operation = f"{self._random.getrandbits(128):032x}"
        write = self._delete if change.action is Action.DELETE else self._put
        is_outcome_unknown = False
        while True:
            try:
                return (yield write(change, operation))
            except WriteOutcomeUnknown as error:
                is_outcome_unknown, failure = True, error
            except StoreUnavailable as error:
                failure = error
                if not is_outcome_unknown:
                    raise make_unavailable(error) from error
            except StoreError as error:
                raise make_unavailable(error) from error
            if self._clock.monotonic() >= deadline:
                raise WriteUnsettled(change.kind, change.name, failure) from failure
            yield sleep(self._clock, RETRY_INTERVAL)

    @inlineCallbacks
    def _put(self, change, operation):
        value = encode_with_operation(change.after, operation)
        read_version = change.stored.version if change.stored else None

        def decide(current):
            if current is not None and decode_stored(current) == change.after:
                return None
            if (current.version if current else None) != read_version:
                raise _make_conflict(change, current)
            return value

        result = yield write_settled(
            self._store, change.kind, change.name, decide, change.stored
        )
        is_ours = read_operation(result) == operation
        return WrittenChange(change, result.version, is_ours)

    @inlineCallbacks
    def _delete(self, change, _operation):
        try:
            deleted = yield delete_settled(
                self._store, change.kind, change.name, change.stored.version
            )
        except VersionConflict as error:
            raise _make_conflict(change, error.current) from error
        if deleted is None:
            # The deletion's revision is unknown, but higher than the deleted version.
            return WrittenChange(change, change.stored.version + 1)
        return WrittenChange(change, deleted.version)


def _make_conflict(change, current):
    theirs = get_members(decode_stored(current)) if current else None
    ours = get_members(change.after)
    return WriteConflict(change.kind, change.name, ours, theirs)
