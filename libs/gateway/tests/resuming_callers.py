"""Callers that resume their streams at any entry process of an EngineFleet."""

import itertools
import random
import re

_EVENT = re.compile(rb"id: (\d+)\ndata: (.+)\n\n")
# Requests that a caller makes for one stream.
MAX_ATTEMPTS = 2


class ResumingCaller:
    """A caller of one stream.

    Parameters
    ----------
    fleet : EngineFleet
        Receives the requests.
    name : str
        Beginning of the ids of its requests.
    names_request : bool
        Whether it names the request that brought the first event as it resumes.

    Attributes
    ----------
    entry : str or None
        IP address of the entry process that serves it now.
    sink : RecordedSink or None
        Answer to its last request.
    attempts : int
        Requests so far.
    was_resumed : bool
        Whether a request resumed the stream after its first event.
    """

    def __init__(self, fleet, name, names_request=True):
        self.fleet = fleet
        self.name = name
        self._names_request = names_request
        self.entry = None
        self.sink = None
        self.attempts = 0
        self.was_resumed = False
        self._running = None
        self._earlier_events = []
        self._first_id = None

    @property
    def events(self):
        """Id and software version of each event over all requests."""
        found = [] if self.sink is None else _EVENT.findall(self.sink.body)
        return self._earlier_events + [(int(number), text) for number, text in found]

    @property
    def versions(self):
        """Software versions of the events."""
        return {version for _, version in self.events}

    @property
    def is_complete(self):
        """Whether the stream has ended as it should."""
        return self.sink.status == 200 and self.sink.is_finished

    def request(self, entry):
        """Send a request to the entry process at an IP address."""
        last_event_id = None
        if self.sink is not None:
            self._earlier_events = self.events
        if self._earlier_events:
            last_event_id = self._earlier_events[-1][0]
            self.was_resumed = True
        request_id = f"{self.name}-{self.attempts}"
        self.attempts += 1
        self.entry = entry
        is_named = last_event_id is not None and self._names_request
        self.sink, self._running = self.fleet.entries[entry].send(
            "resumable",
            request_id=request_id,
            body=self.name.encode(),
            last_event_id=last_event_id,
            resumed_id=self._first_id if is_named else None,
        )
        if not self._earlier_events:
            self._first_id = request_id

    def disconnect(self):
        """Lose the connection to the entry process."""
        self._running.cancel()
        self.sink.is_broken = True


class ResumingTraffic:
    """Streams that begin at a steady rate, whose callers come back once.

    Parameters
    ----------
    fleet : EngineFleet
        Receives the requests.
    seed : int
        Seed of the choices.
    names_requests : bool
        Whether the callers name the request that brought the first event.

    Attributes
    ----------
    callers : list of ResumingCaller
        All callers so far.
    """

    def __init__(self, fleet, seed, names_requests=True):
        self.fleet = fleet
        self._names_requests = names_requests
        self.callers = []
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    @property
    def resumed(self):
        """Callers that have resumed their streams."""
        return [each for each in self.callers if each.was_resumed]

    def run(self, duration, rate=40):
        """Begin streams at a rate per second for a number of seconds."""
        for _ in range(int(duration * rate)):
            name = f"stream-{next(self._numbers)}"
            caller = ResumingCaller(self.fleet, name, self._names_requests)
            caller.request(self._choose_entry())
            self.callers.append(caller)
            self.fleet.pass_time(1 / rate)
            self.come_back()

    def kill_entry(self, ip, comes_back=True):
        """Kill an entry process; its callers come to the others at once, if at all."""
        self.fleet.kill_entry(ip)
        for caller in self.callers:
            if caller.entry == ip and not caller.sink.is_ended:
                caller.sink.is_broken = True
        if comes_back:
            self.come_back()

    def reset_connections(self, ip):
        """Lose the connections of all callers of an entry process."""
        for caller in self.callers:
            if caller.entry == ip and not caller.sink.is_ended:
                caller.disconnect()
        self.come_back()

    def count_mixed(self):
        """Return the number of streams with events of several software versions."""
        return sum(len(each.versions) > 1 for each in self.callers)

    def count_continued(self):
        """Return the number of resumed streams that are complete."""
        return sum(each.is_complete for each in self.resumed)

    def _choose_entry(self):
        return self._rng.choice(list(self.fleet.entries))

    def come_back(self):
        """Let each caller whose stream is not complete come back once."""
        for caller in self.callers:
            is_served = caller.is_complete or not caller.sink.is_ended
            if not is_served and caller.attempts < MAX_ATTEMPTS:
                caller.request(self._choose_entry())
