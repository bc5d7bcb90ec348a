"""State of the replicas as seen by an entry process; basis of the placement."""

from collections import OrderedDict
from datetime import timedelta

from ..adapters.load_times import INITIAL_LOAD_TIME
from ..peers.bounds import bound_state
from ..peers.pacing import choose_lifetime
from ..rate_limiting.cold import ColdReplicas
from ..rate_limiting.limits import ReplicaRateLimits
from ..replica_speed.speeds import ReplicaSpeeds
from ..requests import AdapterName
from .candidates import Candidate
from .health import ReplicaHealth
from .holds import ReplicaHolds
from .loads import ReplicaLoad
from .replicas import ReplicaDirectory

# Number of most recently held adapters of which an engine is assumed to keep a copy, so
# that it loads them again fast; those in its slots are included.
MAX_CACHED_ADAPTERS = 96


class _ReceivedState:
    __slots__ = ("received_at", "state")

    def __init__(self, state, received_at):
        self.state = state
        self.received_at = received_at


class Fleet:
    """Replicas with their load, health and adapters, as seen by one entry process.

    Parameters
    ----------
    clock : Clock
        Source of the times of reports.

    Attributes
    ----------
    directory : ReplicaDirectory
        Entries of the replicas in the store.
    health : ReplicaHealth
        Circuit breakers of the replicas.
    backoffs : ReplicaHolds
        Replicas that asked for no requests for a time.
    rate_limits : ReplicaRateLimits
        Rates that replicas have named as their limits.
    cold_replicas : ColdReplicas
        Replicas that take few requests for a time.
    permit_waits : ReplicaHolds
        Rate-limited replicas for which this process has to wait for its turn.
    speeds : ReplicaSpeeds
        How long work takes at the replicas.
    """

    def __init__(self, clock):
        self._clock = clock
        self.directory = ReplicaDirectory()
        self.health = ReplicaHealth()
        self.backoffs = ReplicaHolds()
        self.rate_limits = ReplicaRateLimits()
        self.cold_replicas = ColdReplicas()
        self.permit_waits = ReplicaHolds()
        self.speeds = ReplicaSpeeds()
        self._loads = {}
        self._states = {}
        self._cached_adapters = {}
        self._misdirected = {}

    def find_load(self, replica_id):
        """Return the ReplicaLoad of a replica; it is created on first use."""
        load = self._loads.get(replica_id)
        if load is None:
            load = self._loads[replica_id] = ReplicaLoad()
        return load

    def record_state(self, ip, state):
        """Record a ReplicaState from the side process at an IP address.

        Returns
        -------
        list of ReplicaRecord
            Entries of the replica that the state describes.
        """
        state = bound_state(state)
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
            load.others_unread_prompts = state.others_unread_prompts
            load.reported_queued_tokens = state.queued_tokens
            self._record_cached_adapters(record.id, state)
            self.speeds.record_report(record, state, self._clock.monotonic())
        return matching

    def record_server_load(self, record, server_load):
        """Record the ServerLoad in an answer of a replica."""
        load = self.find_load(record.id)
        others = server_load.running + server_load.waiting - load.in_flight
        load.others_in_flight = max(0, others)
        load.stated_at = self._clock.monotonic()
        if server_load.slowdown is not None:
            self.speeds.record_stated(record, server_load.slowdown, load.stated_at)

    def record_misdirection(self, record):
        """Record that a replica does not hold what its entry in the store says.

        This handles replicas that restarted empty before their side process or the
        store could report it; without it, each request would try each of them.
        """
        self._misdirected[record.id] = record

    def predict_model_wait(self, service, software_version=None):
        """Return the timedelta until a replica of a service holds its model.

        It is the shortest one of those that are loading; None if none is. Only
        replicas of the software version count, if one is given.
        """
        records = self.directory.list_service(service, software_version)
        states = map(self.find_state, records)
        waits = [
            timedelta(seconds=state.model_wait)
            for state in states
            if state is not None and not state.models
        ]
        return min(waits, default=None)

    def find_state(self, record):
        """Return the recent ReplicaState of a replica, or None if there is none."""
        received = self._states.get(record.ip)
        if received is None or received.state.born != record.born:
            return None
        lifetime = choose_lifetime(timedelta(seconds=received.state.interval))
        if self._clock.monotonic() - received.received_at > lifetime:
            return None
        return received.state

    def find_held(self, record, model):
        """Return the versions of a model's adapters at a replica.

        The source is the side process's report, or the replica's entry in the store if
        there is no recent report. The result is None if the replica lacks the model.
        """
        return _find_adapters(self.find_state(record), record, model)

    def find_state_age(self, record):
        """Return the age of a replica's ReplicaState; None if none is recent."""
        if self.find_state(record) is None:
            return None
        return self._clock.monotonic() - self._states[record.ip].received_at

    def list_candidates(self, service, model, excluded_replicas, software_version=None):
        """Return the Candidates of a service; unhealthy ones only if no other is left.

        A healthy replica without the model that the request needs is no other one.
        Replicas that asked for a backoff, or for which this process has to wait for
        its turn, are no candidates.

        Parameters
        ----------
        service : str
            Name of the service.
        model : str or None
            Base model that the request needs.
        excluded_replicas : set of str
            Ids of the replicas that the request is not sent to again.
        software_version : str or None
            Software version that the replicas must have; None for any.
        """
        now = self._clock.monotonic()
        records = self.directory.list_service(service, software_version)
        records = [
            each
            for each in records
            if each.id not in excluded_replicas
            and not self._is_replaced(each)
            and self._find_hold_left(each, now) is None
        ]
        healthy = [each for each in records if not self.health.is_avoided(each.id, now)]
        candidates = [self._make_candidate(each, model) for each in healthy]
        if model is None:
            is_usable = bool(candidates)
        else:
            is_usable = any(each.held is not None for each in candidates)
        if is_usable or len(healthy) == len(records):
            return candidates
        everywhere = [self._make_candidate(each, model) for each in records]
        holding = [each for each in everywhere if each.held is not None]
        return holding or candidates or everywhere

    def is_available(self, record):
        """Return whether a replica may get requests.

        It is listed and has neither restarted nor is leaving, its failure domain is not
        drained, and it asked for no backoff.
        """
        current = self.directory.find(record.id)
        if current is None or current.is_leaving or current.born != record.born:
            return False
        if self._is_replaced(record) or self.directory.is_drained(record):
            return False
        now = self._clock.monotonic()
        return self.backoffs.find_time_left(record, now) is None

    def is_serving(self, record, drain_time):
        """Return whether a replica is to serve what it runs, as far as is known.

        One whose entry was removed without a word goes on for the drain time. So if it
        ends before, it has crashed.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        drain_time : timedelta
            Time for which a leaving replica serves at least.
        """
        current = self.directory.find(record.id)
        if current is not None:
            return not current.is_leaving
        gone_since = self.directory.find_gone_since(record)
        if gone_since is None:
            return False
        return self._clock.monotonic() - gone_since < drain_time

    def find_hold_left(self, service, software_version=None):
        """Return the time until the first replica of a service may get requests.

        The result is None if one does already, or if there is none. Only replicas of
        the software version count, if one is given.
        """
        now = self._clock.monotonic()
        records = self.directory.list_service(service, software_version)
        times_left = [self._find_hold_left(each, now) for each in records]
        if not times_left or None in times_left:
            return None
        return min(times_left)

    def remove_unlisted(self):
        """Drop the state of replicas that are no longer in the directory."""
        now = self._clock.monotonic()
        self.backoffs.expire(now)
        self.permit_waits.expire(now)
        listed = {record.id for record in self.directory.list_all()}
        self.health.retain(listed)
        self.rate_limits.retain(listed)
        self.speeds.retain(
            {(record.id, record.born) for record in self.directory.list_all()}
        )
        for replica_id in set(self._loads) - listed:
            if self._loads[replica_id].in_flight == 0:
                del self._loads[replica_id]
        for replica_id in set(self._cached_adapters) - listed:
            del self._cached_adapters[replica_id]
        for replica_id in set(self._misdirected) - listed:
            del self._misdirected[replica_id]

    def _find_hold_left(self, record, now):
        """Return how long a replica gets no requests; None if it may get them."""
        holds = (self.backoffs, self.permit_waits)
        times_left = [each.find_time_left(record, now) for each in holds]
        return max((each for each in times_left if each is not None), default=None)

    def _is_replaced(self, record):
        """Return whether the VM of an entry has reported a later start of a replica."""
        received = self._states.get(record.ip)
        return received is not None and received.state.born > record.born

    def _make_candidate(self, record, model):
        load = self.find_load(record.id)
        now = self._clock.monotonic()
        load.slowdown = self._find_slowdown(record, model, now)
        if model is None:
            has_age = load.stated_at is not None and self.speeds.has_stated(record)
            return Candidate(
                record, load, load_age=now - load.stated_at if has_age else None
            )
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
            record,
            load,
            held,
            pending,
            cached,
            state.wanted_adapters,
            True,
            timedelta(seconds=state.load_time) or INITIAL_LOAD_TIME,
            state.refused_adapters,
        )

    def _find_slowdown(self, record, model, now):
        """Return the slowdown by which a replica is chosen.

        What answers show of plain replicas counts only where some state how long work
        takes there. Elsewhere answers of varied length would look like uneven speeds.
        """
        if model is None and not self.speeds.is_stated(record.service):
            return 1.0
        return self.speeds.find_slowdown(record, now)

    def _record_cached_adapters(self, replica_id, state):
        """Record the adapters that an engine holds as the most recent ones."""
        cached_adapters = self._cached_adapters.setdefault(replica_id, OrderedDict())
        for model, adapters in state.models.items():
            for name, version in adapters.items():
                key = AdapterName(model, name)
                cached_adapters[key] = version
                cached_adapters.move_to_end(key)
        while len(cached_adapters) > MAX_CACHED_ADAPTERS:
            cached_adapters.popitem(last=False)


def _find_adapters(state, record, model):
    """Return the versions of a model's adapters by name.

    They come from the state, or from the replica's entry in the store if the state is
    None.
    """
    if state is not None:
        return state.models.get(model)
    held = {each.name: each.adapters for each in record.models}
    return held.get(model)
