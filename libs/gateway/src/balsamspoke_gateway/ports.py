"""Abstract base classes of what the gateway needs from outside."""

from abc import ABC, abstractmethod


class Exchange(ABC):
    """A request sent to a replica, whose answer is being read."""

    @abstractmethod
    def read_answer(self):
        """Return a Deferred of the ReplicaAnswer.

        It fails with NotSent or AnswerLost.
        """

    @abstractmethod
    def read_piece(self):
        """Return a Deferred of the body's next bytes; empty at its proper end.

        It fails with AnswerLost if the answer is cut short.
        """

    @abstractmethod
    def abort(self):
        """Close the connection, which makes the replica stop."""


class ReplicaClient(ABC):
    """Sends requests to replicas."""

    @abstractmethod
    def send(self, replica, request):
        """Send a ReplicaRequest to a ReplicaRecord's address; return an Exchange."""


class CallerSink(ABC):
    """Takes the answer to one caller's request."""

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
        """Write the whole answer to a request that was refused (RequestRefused)."""

    @abstractmethod
    def fail(self, error):
        """Write the whole answer to a request whose outcome is not known."""

    @abstractmethod
    def start(self, status, headers, length=None):
        """Write the head of an answer; the length is None for a stream."""

    @abstractmethod
    def write(self, data):
        """Write bytes of the body."""

    @abstractmethod
    def finish(self):
        """End a whole answer."""

    @abstractmethod
    def abort(self):
        """Close the connection so that the answer looks broken."""


class PeerSender(ABC):
    """Sends messages to other processes of the system; they may get lost."""

    @abstractmethod
    def send(self, ip, message):
        """Send a message of ``messages`` to the process on a VM."""


class RecordSource(ABC):
    """One kind of record in the platform's store.

    All calls fail with StoreUnavailable if the store does not answer.
    """

    @abstractmethod
    def list_all(self):
        """Return an awaitable RecordPage of all records."""

    @abstractmethod
    def poll(self, revision):
        """Return an awaitable RecordPage of the changes after a revision.

        It waits for one, for a time; it fails with WatchExpired if the store has
        dropped that history.
        """


class ReplicaControl(ABC):
    """The replica beside a side process; calls fail with AttemptError."""

    @abstractmethod
    def read_report(self):
        """Return an awaitable EngineReport."""

    @abstractmethod
    def send_order(self, order):
        """Give an Order.

        Returns
        -------
        awaitable of str
            What the replica answered.
        """


class EntryRegistry(ABC):
    """The list of entry processes in the platform's store.

    All calls fail with StoreUnavailable if the store does not answer.
    """

    @abstractmethod
    def register(self):
        """Put this process into the list; return an awaitable."""

    @abstractmethod
    def remove(self, name):
        """Take a process, named by its VM, off the list; return an awaitable."""
