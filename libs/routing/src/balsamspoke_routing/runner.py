"""Entry point for running callers' requests on replicas."""

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
from .fences import FenceClient
from .generations import GenerationRun
from .keyed_calls import KeyedCallRun
from .request_runs import RequestContext
from .settings import AttemptSettings

_ATTEMPT_MESSAGES = (
    AttemptFailed,
    AttemptFenced,
    AttemptRefused,
    GenerationFinished,
    ServiceAnswered,
)


class AttemptRunner:
    """Run generations and calls; each request ends exactly once.

    Parameters
    ----------
    process : ProcessId
        This process, the origin in the ids of its attempts.
    clock : Clock
        Source of monotonic time and timers.
    random_source : random.Random
        Source of the random retry delays.
    send : callable
        Called with a ProcessId and a message to send to it.
    directory : ReplicaDirectory
        Directory that chooses the replicas.
    ledger : IdempotencyLedger
        Idempotency records of the calls with an idempotency key.
    is_key_valid : callable
        Called with the name of a KeyRecord and the version that was checked before;
        returns whether the key may still be used.
    settings : AttemptSettings or None
        Limits and timeouts of attempts; the defaults if None.
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
        self._fences = FenceClient(clock, send, settings.fence_timeout)
        self._context = RequestContext(
            clock=clock,
            random_source=random_source,
            table=self._table,
            directory=directory,
            ledger=ledger,
            fences=self._fences,
            is_key_valid=is_key_valid,
            settings=settings,
            on_done=self._runs.discard,
        )

    @property
    def outstanding(self):
        """Number of requests that still need this process.

        Includes calls whose caller has its answer but whose outcome isn't recorded.
        """
        return len(self._runs)

    def run_generation(self, request, sink):
        """Run a generation.

        The sink may receive the end of the answer before this method returns.

        Parameters
        ----------
        request : GenerationRequest
            The request to run.
        sink : AnswerSink
            Receiver of the answer.

        Returns
        -------
        RunningRequest
            Handle for cancellation and credit.
        """
        return self._start(GenerationRun(request, sink, self._context))

    def run_call(self, request, sink):
        """Run a call of a plain service.

        The sink may receive the answer before this method returns.

        Parameters
        ----------
        request : CallRequest
            The request to run.
        sink : AnswerSink
            Receiver of the answer.

        Returns
        -------
        RunningRequest
            Handle for cancellation.
        """
        needs_record = request.idempotency_key and not request.idempotent
        run_class = KeyedCallRun if needs_record else CallRun
        return self._start(run_class(request, sink, self._context))

    def peer_connected(self, peer):
        """Handle a new connection to a process."""
        self._table.handle_peer_connected(peer)

    def peer_disconnected(self, peer):
        """Handle the loss of the connection to a process."""
        self._table.handle_peer_disconnected(peer)

    def peer_silent(self, peer):
        """Handle a process that doesn't respond although it may be connected.

        Its generations and idempotent calls are tried again on another replica, if
        one can run them.
        """
        self._table.handle_peer_silent(peer)

    def peer_message(self, peer, message):
        """Handle a message from a process.

        Returns
        -------
        bool
            Whether the message was about attempts or a replica; the caller handles
            the others.
        """
        if isinstance(message, TokensProduced):
            for chunk in message.chunks:
                self._table.handle_message(peer, chunk.attempt, chunk)
        elif isinstance(message, ReplicaReport):
            self._directory.store_report(peer, message)
        elif isinstance(message, _ATTEMPT_MESSAGES):
            self._table.handle_message(peer, message.attempt, message)
            if isinstance(message, AttemptFenced):
                self._fences.handle_answer(peer, message)
        else:
            return False
        return True

    def _start(self, run):
        self._runs.add(run)
        run.start()
        return run
