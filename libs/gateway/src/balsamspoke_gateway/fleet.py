"""What an entry process knows of the replicas, put together for decisions."""

from collections import OrderedDict
from datetime import timedelta

from .health import ReplicaHealth
from .loads import ReplicaLoad
from .pacing import choose_lifetime
from .placement import Candidate
from .replicas import ReplicaDirectory
from .requests import AdapterName

# Adapters that an engine is taken to keep a copy of beside those in its places, so
# that it loads them again fast.
MAX_CACHED_ADAPTERS = 96


class _ReceivedState:
    __slots__ = ("received_at", "state")

    def __init__(self, state, received_at):
        self.state = state
        self.received_at = received_at


class Fleet:
    """Replicas, their loads, health and adapters, as one entry process knows them.

    Parameters
    ----------
    clock : Clock
        For the age of what is known.
    """

    def __init__(self, clock):
        self._clock = clock
        self.directory = ReplicaDirectory()
        self.health = ReplicaHealth()
        self._loads = {}
        self._states = {}
        self._cached_adapters = {}
        self._misdirected = {}

    def find_load(self, replica_id):
        """Return the ReplicaLoad of a replica."""
        load = self._loads.get(replica_id)
        if load is None:
            load = self._loads[replica_id] = ReplicaLoad()
        return load

    def record_state(self, ip, state):
        """Take a ReplicaState from the side process on a VM.

        Returns
        -------
        list of ReplicaRecord
            Whom it is about.
        """
        self._states[ip] = _ReceivedState(state, self._clock.monotonic())
        matching = [
            record
            for record in self.directory.list_all()
            if record.ip == ip and record.born == state.born
        ]
        for record in matching:
            load = self.find_load(record.id)
            load.others_in_flight = state.others_in_flight
            load.others_unread_tokens = state.others_unread_tokens
            self._record_cached_adapters(record.id, state)
        return matching

    def record_server_load(self, record, statement):
        """Take a ServerLoad from a replica's answer."""
        load = self.find_load(record.id)
        others = statement.running + statement.waiting - load.in_flight
        load.others_in_flight = max(0, others)

    def record_misdirection(self, record):
        """Take note that a replica does not hold what its entry says.

        Answers replicas that have restarted empty while neither their side process
        nor the store could tell: without this, each request would try each of them.
        """
        self._misdirected[record.id] = record

    def is_loading(self, service):
        """Whether replicas of a service are heard to be empty, so will load soon."""
        states = map(self.find_state, self.directory.list_service(service))
        return any(state is not None and not state.models for state in states)

    def find_state(self, record):
        """Return the fresh ReplicaState of a replica, or None."""
        received = self._states.get(record.ip)
        if received is None or received.state.born != record.born:
            return None
        lifetime = choose_lifetime(timedelta(seconds=received.state.interval))
        if self._clock.monotonic() - received.received_at > lifetime:
            return None
        return received.state

    def find_held(self, record, model):
        """Return versions of a model's adapters at a replica, None without the model.

        The side process tells, or, while it is not heard, the replica's entry.
        """
        return _find_adapters(self.find_state(record), record, model)

    def find_state_age(self, record):
        """Return the age of what is known of a replica's state, or None."""
        if self.find_state(record) is None:
            return None
        return self._clock.monotonic() - self._states[record.ip].received_at

    def list_candidates(self, service, model, excluded_replicas):
        """Return Candidates of a service; those in bad health only if no others.

        Parameters
        ----------
        service : str
            Its name.
        model : str or None
            Base model that is needed.
        excluded : set of str
            Ids of replicas that have refused the request already.
        """
        now = self._clock.monotonic()
        records = self.directory.list_service(service)
        records = [
            each
            for each in records
            if each.id not in excluded_replicas and not self._is_replaced(each)
        ]
        healthy = [each for each in records if not self.health.is_avoided(each.id, now)]
        return [self._make_candidate(each, model) for each in healthy or records]

    def forget_removed(self):
        """Drop what is known of replicas that are not listed any more."""
        listed = {record.id for record in self.directory.list_all()}
        self.health.retain(listed)
        for replica_id in set(self._loads) - listed:
            if self._loads[replica_id].in_flight == 0:
                del self._loads[replica_id]
        for replica_id in set(self._cached_adapters) - listed:
            del self._cached_adapters[replica_id]
        for replica_id in set(self._misdirected) - listed:
            del self._misdirected[replica_id]

    def _is_replaced(self, record):
        """Whether a later start of a replica is heard from the VM of an entry."""
        received = self._states.get(record.ip)
        return received is not None and received.state.born > record.born

    def _make_candidate(self, record, model):
        load = self.find_load(record.id)
        if model is None:
            return Candidate(record, load)
        state = self.find_state(record)
        if state is None and self._misdirected.get(record.id) is record:
            return Candidate(record, load)
        held = _find_adapters(state, record, model)
        if state is None:
            return Candidate(record, load, held)
        prefix = model + "/"
        pending = {
            name[len(prefix) :]: version
            for name, version in state.pending.items()
            if name.startswith(prefix)
        }
        cached = self._cached_adapters.get(record.id, {})
        return Candidate(
            record, load, held, pending, cached, state.wanted_adapters, True
        )

    def _record_cached_adapters(self, replica_id, state):
        """Remember what an engine has held, the latest last."""
        cached_adapters = self._cached_adapters.setdefault(replica_id, OrderedDict())
        for model, adapters in state.models.items():
            for name, version in adapters.items():
                key = AdapterName(model, name)
                cached_adapters[key] = version
                cached_adapters.move_to_end(key)
        while len(cached_adapters) > MAX_CACHED_ADAPTERS:
            cached_adapters.popitem(last=False)


def _find_adapters(state, record, model):
    """Return versions of a model's adapters by name, from a state or else an entry."""
    if state is not None:
        return state.models.get(model)
    held = {each.name: each.adapters for each in record.models}
    return held.get(model)
