"""Backend servers in memory: an engine and a plain service, with their failures."""

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


def get_token(adapter, request_body, number):
    """Return the text of a token, which any correct replica gives alike.

    Parameters
    ----------
    adapter : AdapterRef or None
        What the request runs on.
    request_body : bytes
        The caller's request.
    number : int
        Place of the token in the answer, from zero.
    """
    return f"{adapter or 'base'}/{len(request_body)}/{number} "


class _FakeGeneration(Generation):
    def __init__(self, engine, order, sink):
        self.engine = engine
        self.order = order
        self.sink = sink
        self.offset = order.resume_offset
        self.running = True
        self._paused = False

    def cancel(self):
        self.running = False
        self.engine.running.pop(self.order.request, None)

    def pause(self):
        self._paused = True

    def resume(self):
        self._paused = False

    def step(self):
        if not self.running:
            return
        if not self._paused:
            self._produce()
        if self.running:
            self.engine.after(self.engine.token_time, self.step)

    def _produce(self):
        order = self.order
        if self.offset >= order.max_tokens:
            self.cancel()
            self.engine.tell(self.sink.finish, "length", self.offset)
            return
        text = get_token(order.adapter, order.body, self.offset)
        self.engine.tell(self.sink.add_tokens, self.offset, text, 1)
        self.offset += 1

    def fail(self, error):
        if self.running:
            self.cancel()
            self.engine.tell(self.sink.fail, error)


class FakeEngine(Engine):
    """An engine under a virtual clock; it outlives its side process.

    Parameters
    ----------
    clock : VirtualClock
        The clock of the side process that talks with it; replace ``clock`` when
        another process takes over.
    slots : int
        Adapters that it holds.

    Attributes
    ----------
    obeys_fencing : bool
        Whether orders with an old fencing number are refused.
    up : bool
        Whether it answers.
    load_time, token_time : timedelta
        Costs.
    failing : set of AdapterRef
        Adapters that can't be loaded.
    started : list of GenerationOrder
        Every order that was run.
    evicted_in_use : list of AdapterRef
        Adapters that were unloaded while a request ran on them.
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
        """Run an order, or refuse it."""
        generation = _FakeGeneration(self, order, sink)
        error = self._find_error(order.fencing)
        if error is None and order.adapter and order.adapter not in self.loaded:
            error = BackendRefused(f"{order.adapter} is not loaded", NOT_FOUND)
        if error is not None:
            generation.running = False
            self.tell(sink.fail, error)
            return generation
        self.started.append(order)
        self.running[order.request] = generation
        self.after(self.token_time, generation.step)
        return generation

    def load_adapter(self, adapter, fencing):
        """Load an adapter after the load time."""
        return self._order(self.load_time, self._load, adapter, fencing)

    def unload_adapter(self, adapter, fencing):
        """Unload an adapter."""
        return self._order(timedelta(0), self._unload, adapter, fencing)

    def report(self):
        """Give what is loaded and running."""
        return self._order(timedelta(0), self._report, None, self.fencing)

    def restart(self):
        """Lose everything, as a crash and restart does."""
        self.boot += 1
        self.loaded = []
        for generation in list(self.running.values()):
            generation.fail(BackendLost("engine restarted"))

    def after(self, delay, function, *arguments):
        """Call a function of the engine itself later."""
        self.clock.time.schedule(self.clock.time.elapsed + delay, function, *arguments)

    def tell(self, function, *arguments):
        """Tell the process beside it something."""
        self.after(timedelta(0), self.clock.run_when_awake, function, *arguments)

    def _find_error(self, fencing):
        if not self.up:
            return BackendUnreachable("engine is down")
        if self.obeys_fencing and fencing < self.fencing:
            return BackendRefused("old fencing number", CONFLICT)
        self.fencing = max(self.fencing, fencing)
        return None

    def _order(self, duration, operation, adapter, fencing):
        result = Deferred()
        error = self._find_error(fencing)
        if error is not None:
            self.tell(result.errback, error)
        else:
            self.after(duration, self._carry_out, result, operation, adapter, self.boot)
        return result

    def _carry_out(self, result, operation, adapter, boot):
        if boot != self.boot or not self.up:
            self.tell(result.errback, BackendLost("engine restarted"))
            return
        try:
            self.tell(result.callback, operation(adapter))
        except BackendRefused as error:
            self.tell(result.errback, error)

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
    """A plain service under a virtual clock.

    Attributes
    ----------
    up : bool
        Whether it answers.
    loses_answers : bool
        Whether calls run and their answers are lost.
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
        """Run the call and answer with its number."""
        result = Deferred()
        if not self.up:
            self._tell(result.errback, BackendUnreachable("service is down"))
            return result
        self.calls.append(request)
        if self.loses_answers:
            self._tell(result.errback, BackendLost("connection lost"))
        else:
            body = b"call %d" % len(self.calls)
            self._tell(result.callback, ServiceResponse(200, (), body))
        return result

    def check(self):
        """Answer whether it is up."""
        result = Deferred()
        if self.up:
            self._tell(result.callback, None)
        else:
            self._tell(result.errback, BackendUnreachable("service is down"))
        return result

    def _tell(self, function, value):
        when = self.clock.time.elapsed + self.duration
        self.clock.time.schedule(when, self._deliver, function, value)

    def _deliver(self, function, value):
        self.clock.run_when_awake(function, value)
