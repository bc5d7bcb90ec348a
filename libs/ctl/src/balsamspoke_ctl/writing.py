"""Write changes one after the other, settling lost replies."""

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
    describe_members,
    encode_written,
    read_operation,
)
from .exceptions import PlatformUnavailable, WriteConflict, WriteUnsettled

SETTLE_INTERVAL = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Written:
    """A change that is in the object API.

    Attributes
    ----------
    change : Change
        What was wanted.
    revision : int
        Revision of the store that has it.
    is_ours : bool
        Whether this tool's write did it, not the same one of somebody else.
    """

    change: object
    revision: int
    is_ours: bool = True


class ChangeWriter:
    """Write Changes.

    Parameters
    ----------
    store : ObjectStore
        Where they are written.
    clock : Clock
        Time.
    random_source : random.Random
        Draws operation ids.
    settle_timeout : timedelta
        How long a lost reply is asked after.
    """

    def __init__(self, store, clock, random_source, settle_timeout):
        self._store = store
        self._clock = clock
        self._random = random_source
        self._settle_timeout = settle_timeout

    @inlineCallbacks
    def write_all(self, changes, note):
        """Write Changes in order; go on after one that fails.

        Parameters
        ----------
        changes : iterable of Change
            Those that are unchanged are passed over.
        note : callable
            Called with each Written.

        Returns
        -------
        Deferred of int
            Revision of the last write, zero for none. Fails with an ExceptionGroup
            of CtlErrors if writes failed.
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
                note(written)
                revision = max(revision, written.revision)
        if failures:
            raise ExceptionGroup("not everything was written", failures)
        return revision

    @inlineCallbacks
    def write(self, change):
        """Write one Change; return a Deferred of a Written.

        It fails with WriteConflict, WriteUnsettled or PlatformUnavailable.
        """
        deadline = self._clock.monotonic() + self._settle_timeout
        operation = f"{self._random.getrandbits(128):032x}"
        write = self._delete if change.action is Action.DELETE else self._put
        is_unsettled = False
        while True:
            try:
                return (yield write(change, operation))
            except WriteOutcomeUnknown as error:
                is_unsettled, failure = True, error
            except StoreUnavailable as error:
                failure = error
                if not is_unsettled:
                    raise make_unavailable(error) from error
            except StoreError as error:
                raise make_unavailable(error) from error
            if self._clock.monotonic() >= deadline:
                raise WriteUnsettled(change.kind, change.name, failure) from failure
            yield sleep(self._clock, SETTLE_INTERVAL)

    @inlineCallbacks
    def _put(self, change, operation):
        value = encode_written(change.after, operation)
        read_version = change.stored.version if change.stored else None

        def decide(current):
            if current is not None and decode_stored(current) == change.after:
                return None
            if (current.version if current else None) != read_version:
                raise _make_conflict(change, current)
            return value

        found = yield write_settled(
            self._store, change.kind, change.name, decide, change.stored
        )
        is_ours = read_operation(found) == operation
        return Written(change, found.version, is_ours)

    @inlineCallbacks
    def _delete(self, change, _operation):
        try:
            gone = yield delete_settled(
                self._store, change.kind, change.name, change.stored.version
            )
        except VersionConflict as error:
            raise _make_conflict(change, error.current) from error
        if gone is None:
            # Any deletion has a later revision than what it deleted.
            return Written(change, change.stored.version + 1)
        return Written(change, gone.version)


def _make_conflict(change, current):
    theirs = describe_members(decode_stored(current)) if current else None
    ours = describe_members(change.after)
    return WriteConflict(change.kind, change.name, ours, theirs)
