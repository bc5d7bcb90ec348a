"""Selection of the replica for an attempt, and the wait for its adapter."""

from datetime import timedelta

from balsamspoke_types.timing import add_timeout

from ..adapters.demands import make_wanted_adapter
from ..admission.prompts import cancel_admission, request_admission
from ..exceptions import (
    NO_DELAY,
    AnswerOverdue,
    NoReplica,
    OutcomeUnknown,
    Overloaded,
    StreamNotResumable,
    TimedOut,
)
from ..replica_speed.coordinator import make_answer_kind
from ..scheduling.coordinator import BUSY_RETRY_AFTER
from .choices import Choice, EngineRequirements, choose_engine
from .plain import choose_plain, find_timely

# Callers that are refused until a model is loaded return within this time after it. A
# replica that has its model still has to load the adapters that they request.
MODEL_RETRY_SPREAD = timedelta(seconds=1)
# Callers that are refused until a replica takes requests return within this time after.
HOLD_RETRY_SPREAD = timedelta(milliseconds=300)
# Retry-after time of requests for services that are drained everywhere, doubled at most
# to spread the callers. The operator's maintenance takes longer than a caller waits.
DRAINED_RETRY_AFTER = timedelta(seconds=1)
# Time that a request waits for an adapter before it looks for a better replica.
ADAPTER_TIMEOUT = timedelta(milliseconds=700)
# After this many consecutive timeouts at a replica, its queue position there no longer
# favours it over other replicas.
MAX_ADAPTER_TIMEOUTS = 3
# Latency objectives for which a request waits for an adapter. A caller that is told to
# return may find a free slot then, instead of giving up without an answer.
MAX_WAIT_OBJECTIVES = 2.5


class ReplicaSelection:
    """Find the replica for a request's next attempt, or refuse the request.

    This handles a fleet that is full or restarting: a request that cannot start in time
    is refused at once, with the time after which a retry may succeed.

    Parameters
    ----------
    forwarding : Forwarding
        The request, which has been admitted.
    """

    def __init__(self, forwarding):
        self._forwarding = forwarding
        self._context = forwarding.context
        self._request = forwarding.request
        self._progress = forwarding.progress

    async def find(self):
        """Return a Choice whose replica holds the adapter, waiting for it if needed.

        Raises
        ------
        RequestRefused
            If the request cannot start in time and has not run.
        TimedOut, OutcomeUnknown
            If it may have run in an earlier attempt.
        """
        drained_domains = self._context.drained_domains
        while True:
            await drained_domains.wait_until_current()
            choice = self._choose()
            if choice.must_load and not await self._wait_for_adapter(choice):
                self._progress.record_adapter_timeout(choice.candidate.record.id)
                continue
            choice = await request_admission(self._forwarding, choice)
            if choice is not None and await self._may_send(choice):
                drained_domains.count_placement(choice.candidate.record.service)
                return choice

    async def _may_send(self, choice):
        """Return whether the request may be sent now; if not, it has to choose anew."""
        record = choice.candidate.record
        may_send = False
        try:
            has_permit = await self._context.rate_limiting.take_permit(record)
            is_suitable = has_permit and self._is_still_suitable(record)
            may_send = is_suitable and self._context.drained_domains.is_current
        finally:
            if not may_send:
                cancel_admission(self._context, choice)
        return may_send

    def _choose(self):
        prompt = self._request.prompt
        fleet = self._context.fleet
        model = None if prompt is None else prompt.target.model
        candidates = fleet.list_candidates(
            self._forwarding.service,
            model,
            self._progress.excluded_replicas,
            self._progress.software_version,
        )
        candidates = list(filter(self._may_have_adapter_version, candidates))
        if not candidates:
            raise self._make_unavailable_error()
        failure_domain = self._context.settings.failure_domain
        if prompt is None:
            best = choose_plain(candidates, failure_domain, self._context.draw)
            return Choice(self._find_timely(candidates, best), NO_DELAY)
        choice = choose_engine(
            candidates,
            self._make_requirements(prompt, failure_domain),
            lambda replica: self._context.prefix_tracker.count_cached_tokens(
                prompt, replica
            ),
        )
        if choice is None:
            raise self._make_unavailable_error()
        self._check_wait(choice, candidates)
        return choice

    def _find_timely(self, candidates, chosen):
        """Return the chosen plain replica, or another one if that is too late.

        A request that may run twice also gives way where it would make one late that
        may not.
        """
        route = self._forwarding.route
        usual = self._context.fleet.speeds.find_usual_duration(
            make_answer_kind(route.name)
        )
        is_stated = any(each.load_age is not None for each in candidates)
        if usual is None or not is_stated or self._progress.possible_runs:
            return chosen
        limits = [self._forwarding.time_left()]
        if route.is_idempotent and self._has_unsafe_requests():
            limits.append(route.objective)
        try:
            return find_timely(candidates, chosen, usual, limits)
        except Overloaded as error:
            error.retry_after = max(BUSY_RETRY_AFTER, error.retry_after)
            raise

    def _has_unsafe_requests(self):
        """Return whether the service also gets requests that may run once only."""
        return any(
            not each.is_idempotent and each.leads_to(self._forwarding.service)
            for each in self._context.configuration.routes
        )

    def _make_requirements(self, prompt, failure_domain):
        progress = self._progress
        return EngineRequirements(
            prompt,
            self._find_oldest_version(),
            failure_domain,
            self._forwarding.popularity * self._context.processes,
            progress.awaited_replica
            if progress.adapter_timeouts < MAX_ADAPTER_TIMEOUTS
            else None,
            self._forwarding.stated_priority,
        )

    def _find_oldest_version(self):
        """Return the oldest adapter version that the request may use."""
        announced = self._context.versions.find(self._request.prompt.target)
        return max(announced, self._progress.adapter_version or 0)

    def _may_have_adapter_version(self, candidate):
        """Return whether a stream may go on at a Candidate within its answer.

        The head of the answer has told the caller an adapter version. A replica that
        doesn't hold the adapter can be asked to load that version, unless a newer one
        must be used by now.
        """
        version = self._progress.adapter_version
        if version is None:
            return True
        if self._find_oldest_version() != version or candidate.held is None:
            return False
        adapter = self._request.prompt.target.adapter
        return candidate.held.get(adapter, version) == version

    def _is_still_suitable(self, record):
        """Return whether a chosen replica still may take the request after a wait."""
        if not self._context.fleet.is_available(record):
            return False
        version = self._progress.adapter_version
        return version is None or version == self._forwarding.find_held_version(record)

    def _make_unavailable_error(self):
        if self._progress.possible_runs:
            return OutcomeUnknown("no other replica can take the request")
        service = self._forwarding.service
        version = self._progress.software_version
        if self._is_drained(service, version):
            which = f"all replicas of {service} with version {version}"
            if version is None:
                which = f"all replicas of {service}"
            delay = DRAINED_RETRY_AFTER * (1 + self._context.draw())
            return NoReplica(f"{which} are in drained failure domains", delay)
        if version is not None and not self._list_replicas():
            return StreamNotResumable(f"no replica of {service} has version {version}")
        hold_left = self._context.fleet.find_hold_left(service, version)
        if hold_left is not None:
            # The jitter keeps the callers from returning all at once.
            delay = hold_left + self._choose_hold_spread() * self._context.draw()
            reason = (
                f"all replicas of {service} asked for a backoff or are rate limited"
            )
            return NoReplica(reason, delay)
        model_wait = self._context.fleet.predict_model_wait(service, version)
        if model_wait is None:
            return NoReplica(f"no replica of {service}", BUSY_RETRY_AFTER)
        # The jitter keeps the callers from returning all at once.
        delay = model_wait + MODEL_RETRY_SPREAD * self._context.draw()
        return NoReplica(
            f"{service} is loading its model", max(BUSY_RETRY_AFTER, delay)
        )

    def _is_drained(self, service, version):
        """Return whether only drained domains have replicas of a service.

        Replicas of other software versions than the given one don't count; None stands
        for any.
        """
        directory = self._context.fleet.directory
        is_left = bool(directory.list_drained_domains(service, version))
        return is_left and not directory.list_service(service, version)

    def _choose_hold_spread(self):
        """Return the time over which callers return once a replica takes requests.

        While all replicas are cold, they come back over the rest of the warm-up, as
        long as the service's usual one at most: the replicas take some requests.
        """
        service = self._context.configuration.find_service(self._forwarding.service)
        if service is None:
            return HOLD_RETRY_SPREAD
        cold_replicas = self._context.fleet.cold_replicas
        now = self._context.clock.monotonic()
        warm_up_left = cold_replicas.find_first_end(self._list_replicas(), now)
        return max(HOLD_RETRY_SPREAD, min(service.cold_time, warm_up_left))

    def _list_replicas(self):
        """Return the ReplicaRecords that the request may be sent to in principle."""
        return self._context.fleet.directory.list_service(
            self._forwarding.service, self._progress.software_version
        )

    def _check_wait(self, choice, candidates):
        """Raise Overloaded if the request is not to wait as long as predicted.

        The time to load an adapter does not count: loading takes no engine time, and a
        late answer still earns some credit. A stream that its caller resumes was
        accepted before, and may only go to the replicas of its software version.
        """
        if self._progress.is_accepted:
            return
        scheduling = self._context.scheduling
        scheduling.check_wait(self._forwarding, choice.wait, candidates)

    async def _wait_for_adapter(self, choice):
        """Return whether a replica has loaded the adapter within the time limit."""
        record = choice.candidate.record
        target = self._request.prompt.target
        wanted = make_wanted_adapter(target, self._find_oldest_version())
        due = self._compute_load_deadline(choice)
        waiter = self._context.demands.wait_for(record.id, wanted, due)
        self._context.send_demand(record)
        timeout = min(ADAPTER_TIMEOUT, self._compute_wait_left())
        try:
            await add_timeout(waiter, self._context.clock, timeout, AnswerOverdue())
        except AnswerOverdue:
            if self._compute_wait_left() <= NO_DELAY:
                raise self._make_timeout_error()
            return False
        return True

    def _compute_load_deadline(self, choice):
        """Return the time until which a load must begin to meet the objective."""
        forwarding = self._forwarding
        remaining = choice.candidate.load_time + choice.wait
        return forwarding.started_at + forwarding.route.objective - remaining

    def _compute_wait_left(self):
        """Return the timedelta for which the request may still wait for an adapter."""
        forwarding = self._forwarding
        time_left = forwarding.time_left()
        if self._progress.is_accepted:
            return time_left
        latest = (
            forwarding.started_at + MAX_WAIT_OBJECTIVES * forwarding.route.objective
        )
        return min(time_left, latest - self._context.clock.monotonic())

    def _make_timeout_error(self):
        if self._progress.possible_runs:
            return TimedOut("the time for the answer is over")
        # The jitter keeps the callers from returning all at once.
        delay = self._forwarding.route.objective * (1 + self._context.draw())
        return Overloaded("the adapter was not loaded in time", delay)
