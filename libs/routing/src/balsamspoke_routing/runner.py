"""Run callers' requests on replicas."""

from balsamspoke_types.messages import (
    AttemptFailed,
    AttemptFenced,
    AttemptRefused,
    GenerationFinished,
    ReplicaReport,
    ServiceAnswered,
    TokensProduced,
)

from .attempts import AttemptTable
from .calls import CallRun
from .fences import FenceDesk
from .generations import GenerationRun
from .keyed_calls import KeyedCallRun
from .running import RequestContext
from .settings import AttemptSettings

_ATTEMPT_MESSAGES = (
    AttemptFailed,
    AttemptFenced,
    AttemptRefused,
    GenerationFinished,
    ServiceAnswered,
)


class AttemptRunner:
    """Run generations and calls, each to exactly one end.

    Parameters
    ----------
    process : ProcessId
        This process.
    clock : Clock
        Time.
    random_source : random.Random
        Draws waits.
    send : callable
        Sends a message to a ProcessId.
    directory : ReplicaDirectory
        Chooses replicas.
    ledger : IdempotencyLedger
        Keeps idempotency records.
    is_key_valid : callable
        Whether the KeyRecord of a name may still be used, given the version that
        was checked before.
    settings : AttemptSettings
        Bounds.
    """

    def __init__(
        self,
        process,
        clock,
        random_source,
        send,
        directory,
        ledger,
        is_key_valid,
        settings=None,
    ):
        self._directory = directory
        self._runs = set()
        self._table = AttemptTable(process, send, directory)
        settings = settings or AttemptSettings()
        self._fences = FenceDesk(clock, send, settings.fence_wait)
        self._context = RequestContext(
            clock=clock,
            random_source=random_source,
            table=self._table,
            directory=directory,
            ledger=ledger,
            fences=self._fences,
            is_key_valid=is_key_valid,
            settings=settings,
            note_done=self._runs.discard,
        )

    @property
    def outstanding(self):
        """Requests that still need this process; a planned stop waits for zero."""
        return len(self._runs)

    def run_generation(self, request, sink):
        """Run a GenerationRequest.

        The sink may be told the end before this returns.

        Returns
        -------
        RunningRequest
        """
        return self._start(GenerationRun(request, sink, self._context))

    def run_call(self, request, sink):
        """Run a CallRequest; as ``run_generation``."""
        keyed = request.idempotency_key and not request.idempotent
        kind = KeyedCallRun if keyed else CallRun
        return self._start(kind(request, sink, self._context))

    def peer_connected(self, peer):
        """Note that a process can be reached."""
        self._table.note_connected(peer)

    def peer_disconnected(self, peer):
        """Note that messages to a process may be lost."""
        self._table.note_disconnected(peer)

    def peer_silent(self, peer):
        """Note that a process doesn't answer, though it may be connected.

        What may be repeated goes on elsewhere, if another replica can take it.
        """
        self._table.note_silent(peer)

    def peer_message(self, peer, message):
        """Take a message from a process.

        Returns
        -------
        bool
            Whether it was a message about attempts or replicas.
        """
        if isinstance(message, TokensProduced):
            for chunk in message.chunks:
                self._table.take_message(peer, chunk.attempt, chunk)
        elif isinstance(message, ReplicaReport):
            self._directory.note_report(peer, message)
        elif isinstance(message, _ATTEMPT_MESSAGES):
            self._table.take_message(peer, message.attempt, message)
            if isinstance(message, AttemptFenced):
                self._fences.take_answer(peer, message)
        else:
            return False
        return True

    def _start(self, run):
        self._runs.add(run)
        run.start()
        return run
