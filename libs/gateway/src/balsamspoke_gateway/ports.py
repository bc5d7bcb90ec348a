"""Abstract base classes of the gateway's connections to the outside."""

from abc import ABC, abstractmethod


class Exchange(ABC):
    """A request sent to a replica and its answer, which is read step by step."""

    @abstractmethod
    def read_answer(self):
        """Return a Deferred of the ReplicaAnswer, the head of the answer.

        It fails with NotSent or AnswerLost.
        """

    @abstractmethod
    def read_piece(self):
        """Return a Deferred of the next bytes of the body; empty at its regular end.

        It fails with AnswerLost if the answer is truncated.
        """

    @abstractmethod
    def abort(self):
        """Close the connection, which makes the replica stop the request."""


class ReplicaClient(ABC):
    """Client that sends requests to replicas."""

    @abstractmethod
    def send(self, replica, request):
        """Send a ReplicaRequest to a ReplicaRecord's address; return an Exchange."""

    @abstractmethod
    def is_refusing(self, replica):
        """Return a Deferred of whether a replica's address refuses a connection.

        A refusal shows that no process listens there. Anything else, such as no
        response at all, counts as no refusal.
        """


class CallerSink(ABC):
    """Writer of the answer to one request of a caller."""

    @property
    @abstractmethod
    def is_started(self):
        """Whether the head of an answer was written."""

    @property
    @abstractmethod
    def status(self):
        """HTTP status that was written; 0 if none."""

    @abstractmethod
    def refuse(self, error):
        """Write a complete error answer for a RequestRefused."""

    @abstractmethod
    def fail(self, error):
        """Write a complete error answer for a request that may have run.

        The error is a TimedOut or an OutcomeUnknown.
        """

    @abstractmethod
    def start(self, status, headers, length=None):
        """Write the head of an answer; the length is None for a stream."""

    @property
    @abstractmethod
    def is_full(self):
        """Whether the caller reads so slowly that much of the answer is unsent."""

    @abstractmethod
    def wait_for_room(self):
        """Return a Deferred of None that fires once the caller has read on."""

    @abstractmethod
    def write(self, data):
        """Write bytes of the body."""

    @abstractmethod
    def finish(self):
        """End an answer that is complete."""

    @abstractmethod
    def abort(self):
        """Close the connection early, so that the caller sees a truncated answer."""


class PeerSender(ABC):
    """Sender of messages to other processes of the system; messages may be lost."""

    @abstractmethod
    def send(self, ip, message):
        """Send an object of the module ``messages`` to a process.

        Parameters
        ----------
        ip : str
            IP address of the process.
        message : EntryDemand, ReplicaState or EntryUsage
            The message.
        """


class RecordSource(ABC):
    """Records of one kind in the platform's store.

    All calls fail with StoreUnavailable if the store does not answer.
    """

    @abstractmethod
    def list_all(self):
        """Return an awaitable RecordPage of all records."""

    @abstractmethod
    def poll(self, position):
        """Return an awaitable RecordPage of the changes after a StorePosition.

        The call waits for a change up to a time limit. It fails with WatchExpired if
        the store no longer has the history since the position.
        """


class ReplicaControl(ABC):
    """Control interface of the replica beside a side process.

    All calls fail with AttemptError if the replica does not answer, and with
    ReplicaBusy if it asks for a backoff.
    """

    @abstractmethod
    def read_report(self):
        """Return an awaitable EngineReport."""

    @abstractmethod
    def send_order(self, order):
        """Send an Order to the replica.

        Returns
        -------
        awaitable of str
            The replica's answer, for logs.
        """


class EntryRegistry(ABC):
    """The list of entry processes in the platform's store.

    All calls fail with StoreUnavailable if the store does not answer.
    """

    @abstractmethod
    def register(self):
        """Add this process to the list; return an awaitable."""

    @abstractmethod
    def remove(self, name):
        """Remove the process of a VM (by name) from the list; return an awaitable."""

    @abstractmethod
    def probe(self):
        """Read this process's own entry, to see an answer; return an awaitable.

        It fails with StoreSilent if no answer comes in time on an open connection.
        """
