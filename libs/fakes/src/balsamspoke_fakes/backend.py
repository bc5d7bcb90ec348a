"""In-memory fakes of an engine and a plain service, with injectable faults."""

from datetime import timedelta

from balsamspoke_types.exceptions import (
    BackendLost,
    BackendRefused,
    BackendUnreachable,
)
from balsamspoke_types.ports import (
    Engine,
    EngineReport,
    Generation,
    PlainServiceClient,
    ServiceResponse,
)
from twisted.internet.defer import Deferred

CONFLICT = 409
NOT_FOUND = 404


def format_token(adapter, request_body, number):
    """Return the text of one token of an answer.

    It depends on the parameters only: every correct replica generates the same text.

    Parameters
    ----------
    adapter : AdapterRef or None
        The adapter of the request; None for the base model.
    request_body : bytes
        Body of the caller's request.
    number : int
        Zero-based index of the token in the answer.
    """
    return f"{adapter or 'base'}/{len(request_body)}/{number} "


class _FakeGeneration(Generation):
    def __init__(self, engine, order, sink):
        self.engine = engine
        self.order = order
        self.sink = sink
        self.offset = order.resume_offset
        self.is_running = True
        self._is_paused = False

    def cancel(self):
        self.is_running = False
        self.engine.running.pop(self.order.request, None)

    def pause(self):
        self._is_paused = True

    def resume(self):
        self._is_paused = False

    def step(self):
        if not self.is_running:
            return
        if not self._is_paused:
            self._produce()
        if self.is_running:
            self.engine.after(self.engine.token_time, self.step)

    def _produce(self):
        order = self.order
        if self.offset >= order.max_tokens:
            self.cancel()
            self.engine.notify(self.sink.finish, "length", self.offset)
            return
        text = format_token(order.adapter, order.body, self.offset)
        self.engine.notify(self.sink.add_tokens, self.offset, text, 1)
        self.offset += 1

    def fail(self, error):
        if self.is_running:
            self.cancel()
            self.engine.notify(self.sink.fail, error)


class FakeEngine(Engine):
    """A fake engine on a virtual clock; it outlives its side process.

    Parameters
    ----------
    clock : VirtualClock
        Clock of the side process that uses the engine. Set ``clock`` to that of the
        new process after a restart of the side process.
    slots : int
        Maximum number of loaded adapters.

    Attributes
    ----------
    obeys_fencing : bool
        Whether orders with a fencing token below the highest received are refused.
    up : bool
        Whether the engine is reachable.
    load_time : timedelta
        Time to load an adapter.
    token_time : timedelta
        Time to generate a token.
    failing : set of AdapterRef
        Adapters whose loads fail.
    boot : int
        Number of the engine's current run.
    fencing : int
        Highest fencing token received.
    loaded : list of AdapterRef
        Loaded adapters.
    running : dict
        Running generations by request id.
    started : list of GenerationOrder
        Every order that was started.
    evicted_in_use : list of AdapterRef
        The adapter of each request that was running when its adapter was unloaded.
    loads : int
        Number of completed loads.
    """

    def __init__(self, clock, slots=8):
        self.clock = clock
        self.slots = slots
        self.obeys_fencing = False
        self.up = True
        self.load_time = timedelta(milliseconds=250)
        self.token_time = timedelta(milliseconds=40)
        self.failing = set()
        self.boot = 1
        self.fencing = 0
        self.loaded = []
        self.running = {}
        self.started = []
        self.evicted_in_use = []
        self.loads = 0

    def generate(self, order, sink):
        """Start a generation, or report an error to its sink."""
        generation = _FakeGeneration(self, order, sink)
        error = self._find_error(order.fencing)
        if error is None and order.adapter and order.adapter not in self.loaded:
            error = BackendRefused(f"{order.adapter} is not loaded", NOT_FOUND)
        if error is not None:
            generation.is_running = False
            self.notify(sink.fail, error)
            return generation
        self.started.append(order)
        self.running[order.request] = generation
        self.after(self.token_time, generation.step)
        return generation

    def load_adapter(self, adapter, fencing):
        """Load an adapter, which takes ``load_time``."""
        return self._start_operation(self.load_time, self._load, adapter, fencing)

    def unload_adapter(self, adapter, fencing):
        """Unload an adapter; generations that use it fail."""
        return self._start_operation(timedelta(0), self._unload, adapter, fencing)

    def report(self):
        """Return a Deferred of an EngineReport."""
        return self._start_operation(timedelta(0), self._report, None, self.fencing)

    def restart(self):
        """Crash and restart: unload all adapters and fail all generations."""
        self.boot += 1
        self.loaded = []
        for generation in list(self.running.values()):
            generation.fail(BackendLost("engine restarted"))

    def after(self, delay, function, *arguments):
        """Call a function after a delay, even if the process is paused or killed."""
        self.clock.time.schedule(self.clock.time.elapsed + delay, function, *arguments)

    def notify(self, function, *arguments):
        """Call a function of the side process, through its clock."""
        self.after(timedelta(0), self.clock.run_or_defer, function, *arguments)

    def _find_error(self, fencing):
        if not self.up:
            return BackendUnreachable("engine is down")
        if self.obeys_fencing and fencing < self.fencing:
            return BackendRefused("stale fencing token", CONFLICT)
        self.fencing = max(self.fencing, fencing)
        return None

    def _start_operation(self, duration, operation, adapter, fencing):
        result = Deferred()
        error = self._find_error(fencing)
        if error is not None:
            self.notify(result.errback, error)
        else:
            self.after(
                duration, self._finish_operation, result, operation, adapter, self.boot
            )
        return result

    def _finish_operation(self, result, operation, adapter, boot):
        if boot != self.boot or not self.up:
            self.notify(result.errback, BackendLost("engine restarted"))
            return
        try:
            self.notify(result.callback, operation(adapter))
        except BackendRefused as error:
            self.notify(result.errback, error)

    def _load(self, adapter):
        if adapter in self.failing:
            raise BackendRefused(f"{adapter} can't be loaded", CONFLICT)
        if adapter not in self.loaded:
            if len(self.loaded) >= self.slots:
                raise BackendRefused("no free slot", CONFLICT)
            self.loaded.append(adapter)
            self.loads += 1

    def _unload(self, adapter):
        if adapter not in self.loaded:
            raise BackendRefused(f"{adapter} is not loaded", NOT_FOUND)
        for generation in list(self.running.values()):
            if generation.order.adapter == adapter:
                self.evicted_in_use.append(adapter)
                generation.fail(BackendLost("adapter unloaded"))
        self.loaded.remove(adapter)

    def _report(self, _):
        return EngineReport(str(self.boot), len(self.running), 0, tuple(self.loaded))


class FakePlainService(PlainServiceClient):
    """A fake plain service on a virtual clock.

    Parameters
    ----------
    clock : VirtualClock
        Clock of the side process that uses the service.

    Attributes
    ----------
    up : bool
        Whether the service is reachable.
    loses_answers : bool
        Whether calls are run but their answers are lost.
    duration : timedelta
        Duration of a call.
    calls : list of ServiceRequest
        Every call that was run.
    """

    def __init__(self, clock):
        self.clock = clock
        self.up = True
        self.loses_answers = False
        self.duration = timedelta(milliseconds=5)
        self.calls = []

    def call(self, request):
        """Run a call; the response's body has the number of the call."""
        result = Deferred()
        if not self.up:
            self._answer(result.errback, BackendUnreachable("service is down"))
            return result
        self.calls.append(request)
        if self.loses_answers:
            self._answer(result.errback, BackendLost("connection lost"))
        else:
            body = b"call %d" % len(self.calls)
            self._answer(result.callback, ServiceResponse(200, (), body))
        return result

    def check(self):
        """Return a Deferred of None, which fails if the service is unreachable."""
        result = Deferred()
        if self.up:
            self._answer(result.callback, None)
        else:
            self._answer(result.errback, BackendUnreachable("service is down"))
        return result

    def _answer(self, function, value):
        when = self.clock.time.elapsed + self.duration
        self.clock.time.schedule(when, self._deliver, function, value)

    def _deliver(self, function, value):
        self.clock.run_or_defer(function, value)
