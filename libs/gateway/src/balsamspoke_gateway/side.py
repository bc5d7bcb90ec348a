"""Core of a side process, which sends orders to the replica on its VM."""

from datetime import timedelta

from balsamspoke_types.timing import sleep
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from .adapters.load_times import AdapterLoadTimes
from .adapters.model_loads import ModelLoadMonitor
from .adapters.plan import AdapterPlan
from .adapters.report_intervals import choose_report_interval
from .admission.controller import AdmissionController
from .admission.messages import (
    AdmissionCancellation,
    AdmissionRequest,
    PrefillEnded,
)
from .engine_status import EngineStatus
from .exceptions import NO_DELAY, AttemptError, ReplicaBusy
from .fleet.holds import MAX_HOLD
from .messages import EntryDemand
from .observing import (
    AdaptersRefused,
    BackoffRequested,
    OrderGiven,
    ProgramFailed,
)
from .peers.bounds import bound_demand
from .replica_speed.engine import EngineSpeed
from .state_reports import StateReporter
from .store.reachability import Reachability
from .stream_versions import StreamOriginHolder

# Interval after an order: the effect is read soon, but not in a busy loop.
ORDER_INTERVAL = timedelta(milliseconds=4)

_REPLICA = "replica"


class SideCore:
    """Load the adapters that entry processes want, and send them the replica's state.

    A replica and its side process run on the same VM from start to end. The side
    process is therefore the only one that sends orders, and needs no lease.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time and of timers.
    replica : ReplicaControl
        Reads the replica's reports and sends orders to it.
    peers : PeerSender
        Sends the replica's state to the entry processes.
    observer : Observer
        Receives events on orders and on the replica's reachability.
    find_engine : callable
        Returns the EngineLimits of the replica's service; None if not known yet.
    """

    def __init__(self, clock, replica, peers, observer, find_engine):
        self._clock = clock
        self._replica = replica
        self._peers = peers
        self._observer = observer
        self._find_engine = find_engine
        self._plan = AdapterPlan()
        self._report = None
        self._reachability = Reachability(_REPLICA, clock, observer)
        self._wakeup = None
        self._load_times = AdapterLoadTimes()
        self._model_loads = ModelLoadMonitor()
        self._admission = AdmissionController(clock, peers, observer)
        self._refused_adapters = ()
        self._backoff_ends = clock.monotonic()
        self._speed = EngineSpeed()
        self._state_reporter = StateReporter(
            clock, peers, self._plan, self._admission, self._load_times, self._speed
        )
        self._streams = StreamOriginHolder(clock, peers.send)

    @property
    def report_age(self):
        """Seconds since the replica's last report; None if there was none."""
        return self._reachability.silence

    @property
    def queued_prompt_tokens(self):
        """Tokens of the prompts that wait for admission."""
        return self._admission.queued_tokens

    @property
    def engine_status(self):
        """EngineStatus of the replica; None if it has not reported yet."""
        report = self._report
        if report is None:
            return None
        demands = self._plan.list_demands(self._clock.monotonic()).values()
        unread = sum(each.unread_tokens for each in demands)
        return EngineStatus(
            report.running,
            len({name for each in demands for name in each.in_use}),
            self._plan.count_wanted(report),
            unread * self._admission.time_per_token,
            self._admission.is_required,
        )

    def count_streams(self):
        """Return the number of streams whose origin is kept for entry processes."""
        return len(self._streams)

    def start(self):
        """Start the control loop; return its Deferred."""
        return Deferred.fromCoroutine(self._run())

    def report_bug(self, failure):
        """Report the Failure of an unexpected error."""
        self._observer.observe(ProgramFailed(failure.getTraceback()))

    def receive_message(self, ip, message):
        """Process a message from the entry process at an IP address."""
        if isinstance(message, AdmissionRequest):
            self._admission.receive_request(ip, message)
        elif isinstance(message, PrefillEnded):
            self._admission.receive_prefill_end(ip, message)
        elif isinstance(message, AdmissionCancellation):
            self._admission.receive_cancellation(ip, message)
        elif isinstance(message, EntryDemand):
            self._receive_demand(ip, bound_demand(message))
        else:
            self._streams.receive(ip, message)

    def _receive_demand(self, ip, message):
        is_new = not self._plan.has_demand(ip)
        now = self._clock.monotonic()
        self._plan.record_demand(ip, message, now)
        self._speed.receive_demand(ip, message, now)
        max_event_interval = timedelta(seconds=message.max_event_interval)
        self._admission.record_late_events(message.late_events, max_event_interval)
        if message.wanted or is_new:
            self.wake()

    def wake(self):
        """Run the next step now, because of new demand or new limits of the engine."""
        if self._wakeup is not None:
            wakeup, self._wakeup = self._wakeup, None
            wakeup.cancel()

    async def _run(self):
        while True:
            await self._wait_out_backoff()
            try:
                has_sent_order = await self._step()
            except CancelledError:
                raise
            except Exception:
                # Without its control loop the replica would get no adapter any more.
                self.report_bug(Failure())
                has_sent_order = False
            await self._wait_for_wakeup(
                ORDER_INTERVAL if has_sent_order else self._choose_report_interval()
            )

    def _choose_report_interval(self):
        load_age = self._load_times.find_shortest_age(self._clock.monotonic())
        return choose_report_interval(load_age)

    async def _wait_out_backoff(self):
        """Leave the replica alone for as long as it asked for, whatever is wanted."""
        time_left = self._backoff_ends - self._clock.monotonic()
        if time_left > NO_DELAY:
            await sleep(self._clock, time_left)

    def _record_backoff(self, error):
        """Record the time for which the replica wants no calls, from a ReplicaBusy."""
        duration = min(error.retry_after, MAX_HOLD)
        self._backoff_ends = self._clock.monotonic() + duration
        self._observer.observe(BackoffRequested(_REPLICA, error.retry_after))

    async def _wait_for_wakeup(self, interval):
        """Wait for an interval, or until ``wake`` is called."""
        waiter = Deferred(lambda each: each.callback(None))
        timer = self._clock.call_later(interval, waiter.cancel)
        self._wakeup = waiter
        await waiter
        timer.cancel()
        self._wakeup = None

    async def _step(self):
        """Read the replica's report, send its state, and send an order if one is due.

        Return whether an order was sent.
        """
        try:
            self._report = await self._replica.read_report()
        except ReplicaBusy as error:
            self._record_backoff(error)
            return False
        except AttemptError as error:
            self._reachability.record_failure(error)
            return False
        self._reachability.record_answer()
        now = self._clock.monotonic()
        self._speed.record_report(self._report, now)
        self._model_loads.record_report(self._report, now)
        self._load_times.record_report(self._report, now)
        self._plan.record_report(self._report, now)
        self._report_refused_adapters(now)
        engine = self._find_engine()
        model_wait = self._model_loads.predict_wait(engine, now)
        self._state_reporter.send(self._report, model_wait)
        if engine is None:
            return False
        now = self._clock.monotonic()
        order = self._plan.choose_order(self._report, engine, now)
        if order is None:
            return False
        return await self._send_order(order)

    def _report_refused_adapters(self, now):
        refused = self._plan.list_refused(now)
        if refused != self._refused_adapters:
            self._refused_adapters = refused
            self._observer.observe(AdaptersRefused(refused))

    async def _send_order(self, order):
        self._plan.record_sent_order(order)
        try:
            outcome = await self._replica.send_order(order)
        except ReplicaBusy as error:
            self._record_backoff(error)
            outcome = type(error).__name__
        except AttemptError as error:
            outcome = type(error).__name__
            now = self._clock.monotonic()
            self._plan.record_lost_order(order, self._report.born, now)
        report = self._report
        self._observer.observe(
            OrderGiven(
                order.kind.value,
                order.model,
                order.adapter,
                order.version,
                order.expected_orders,
                sum(map(len, report.models.values())),
                len(report.pending),
                outcome,
            )
        )
        return True
