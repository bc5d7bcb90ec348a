"""Detection of live processes from the VM list and from heartbeats."""

from balsamspoke_types.messages import Heartbeat, HeartbeatAnswer, ProcessStatus
from balsamspoke_types.ports import VmState

from .known import ProcessTable
from .listed import ListedVms
from .members import Member, MemberState
from .probing import ProbeRounds
from .settings import MembershipSettings


class Membership:
    """The members of the fleet, as one process sees them.

    Processes exchange heartbeats over their connections. Each heartbeat and answer
    carries the sender's status and relays statuses of other processes.

    Parameters
    ----------
    process : ProcessId
        Id of this process.
    vm_id : str
        Id of its VM.
    clock : Clock
        Monotonic time and timers.
    random_source : random.Random
        Randomises which peers are probed and which statuses are relayed.
    vm_list : VmList
        Client of the VM list.
    transport : PeerTransport
        Connects to other processes and sends messages to them.
    settings : MembershipSettings or None
        Intervals, timeouts and message sizes; None for the defaults.
    get_revision : callable
        Returns the revision up to which the catalogue of this process is complete.
    on_change : callable
        Called without arguments after the members changed.
    on_vm_list : callable
        Called with the records of each new VM list and the monotonic time at which it
        was requested.
    should_connect : callable
        Called with a VmRecord; returns whether to keep a connection to its process.
    on_status : callable, optional
        Called for each received status of another process, with its ProcessId and
        catalogue revision.
    """

    def __init__(
        self,
        process,
        vm_id,
        clock,
        random_source,
        vm_list,
        transport,
        settings,
        get_revision,
        on_change,
        on_vm_list,
        should_connect,
        on_status=None,
    ):
        self.process = process
        self.vm_id = vm_id
        self._clock = clock
        self._random = random_source
        self._vm_list = vm_list
        self._transport = transport
        self._settings = settings or MembershipSettings()
        self._get_revision = get_revision
        self._on_change = on_change
        self._on_vm_list = on_vm_list
        self._should_connect = should_connect
        self._on_status = on_status
        self._listed = ListedVms(clock, self._settings.missing_margin)
        self._processes = ProcessTable()
        self._probe_rounds = ProbeRounds(random_source)
        self._connection_targets = set()
        self._recent_leavers = {}
        self._is_leaving = False
        self._announcement_rounds_left = 0
        self._sequence = 0
        self._last_round_at = None
        self._list_requested_at = None
        self._members = ()
        self._timers = {}
        self._is_running = False

    def start(self):
        """Start to request the VM list and to send heartbeats."""
        self._is_running = True
        self._request_list()
        delay = self._settings.probe_interval * self._random.random()
        self._timers["probe"] = self._clock.call_later(delay, self._run_probe_round)

    def stop(self):
        """Cancel all timers; later messages and VM lists are ignored."""
        self._is_running = False
        for timer in self._timers.values():
            timer.cancel()

    def announce_leaving(self):
        """Announce to all connected peers that this process will stop.

        The announcement is repeated in the next ``leaving_repeats`` rounds.
        """
        self._is_leaving = True
        self._announcement_rounds_left = self._settings.leaving_repeats
        self._broadcast_heartbeat()

    def peer_connected(self, peer):
        """Make a connected process the current one of its VM unless it was replaced."""
        known = self._processes.register(peer)
        if known is None:
            return
        known.is_connected = True
        self._send_heartbeat(known)
        self._update_members()

    def peer_disconnected(self, peer):
        """Start the suspect timeout of a peer whose connection was lost."""
        known = self._processes.get(peer)
        if known is not None:
            known.is_connected = False
            known.unanswered_since = known.unanswered_since or self._clock.monotonic()
            self._update_members()

    def peer_message(self, peer, message):
        """Process a heartbeat or an answer to one.

        Returns
        -------
        bool
            Whether the message is a heartbeat or an answer, even if it was ignored.
        """
        if not isinstance(message, Heartbeat | HeartbeatAnswer):
            return False
        if not self._is_running:
            return True
        changed = self._handle_direct_status(peer, message.status)
        for status in message.others:
            changed |= self._handle_relayed_status(status)
        if isinstance(message, Heartbeat):
            answer = HeartbeatAnswer(
                message.sequence, self._get_status(), self._choose_statuses()
            )
            self._transport.send(peer, answer)
        if changed:
            # Otherwise the next probe round updates the members.
            self._update_members()
        return True

    def members(self, role=None, service=None):
        """Return the members of the fleet except this process, sorted by VM.

        Parameters
        ----------
        role : str, optional
            Role of the VMs to include; all if None.
        service : str, optional
            Service of the VMs to include; all if None.

        Returns
        -------
        tuple of Member
        """
        return tuple(
            member
            for member in self._members
            if role in (None, member.vm.role) and service in (None, member.vm.service)
        )

    def _request_list(self):
        now = self._clock.monotonic()
        self._timers["list"] = self._clock.call_later(
            self._settings.list_interval, self._request_list
        )
        if (
            self._list_requested_at is not None
            and now - self._list_requested_at < self._settings.list_timeout
        ):
            return
        self._list_requested_at = now
        fetched = self._vm_list.fetch()
        fetched.addCallbacks(
            self._handle_list, self._handle_list_failure, callbackArgs=(now,)
        )

    def _handle_list_failure(self, _failure):
        self._list_requested_at = None

    def _handle_list(self, records, requested_at):
        if not self._is_running or self._list_requested_at != requested_at:
            return
        self._list_requested_at = None
        self._listed.update(records)
        self._update_connections()
        self._on_vm_list(records, requested_at)
        self._update_members()

    def _update_connections(self):
        for record in self._listed.list_records():
            if record.vm == self.vm_id:
                continue
            if self._is_removable(record.vm):
                self._listed.remove(record.vm)
                self._processes.remove_vm(record.vm)
                self._disconnect(record.vm)
            elif self._should_connect(record):
                self._connection_targets.add(record.vm)
                self._transport.connect(record)
            else:
                self._disconnect(record.vm)
        self._remove_unlisted()

    def _remove_unlisted(self):
        for known in self._processes:
            is_listed = self._listed.get(known.process.vm) is not None
            if (
                not is_listed
                and not known.is_connected
                and self._is_unresponsive(known)
            ):
                self._processes.remove_vm(known.process.vm)

    def _is_removable(self, vm_id):
        known = self._processes.get_current(vm_id)
        is_unresponsive = known is None or self._is_unresponsive(known)
        return self._listed.is_gone(vm_id) and is_unresponsive

    def _disconnect(self, vm_id):
        if vm_id in self._connection_targets:
            self._connection_targets.discard(vm_id)
            self._transport.disconnect(vm_id)

    def _run_probe_round(self):
        self._reset_timeouts_after_pause()
        self._last_round_at = self._clock.monotonic()
        self._timers["probe"] = self._clock.call_later(
            self._settings.probe_interval, self._run_probe_round
        )
        connected = [known for known in self._processes if known.is_connected]
        if self._announcement_rounds_left > 0:
            self._announcement_rounds_left -= 1
            self._broadcast_heartbeat()
        else:
            by_process = {known.process: known for known in connected}
            targets = set(self._probe_rounds.draw(by_process, self._settings.probes))
            targets |= {known.process for known in connected if known.unanswered_since}
            for process in sorted(targets):
                self._send_heartbeat(by_process[process])
        self._update_members()

    def _reset_timeouts_after_pause(self):
        now = self._clock.monotonic()
        previous = self._last_round_at
        after = self._settings.suspect_after
        if previous is None or now - previous < after:
            return
        # This process was paused, and may not have read answers that have arrived.
        self._last_round_at = now
        for known in self._processes:
            if (
                known.unanswered_since is not None
                and previous - known.unanswered_since < after
            ):
                known.unanswered_since = now

    def _broadcast_heartbeat(self):
        for known in self._processes:
            if known.is_connected:
                self._send_heartbeat(known)

    def _send_heartbeat(self, known):
        self._sequence += 1
        known.unanswered_since = known.unanswered_since or self._clock.monotonic()
        heartbeat = Heartbeat(
            self._sequence, self._get_status(), self._choose_statuses()
        )
        self._transport.send(known.process, heartbeat)

    def _get_status(self):
        return ProcessStatus(self.process, self._is_leaving, self._get_revision())

    def _choose_statuses(self):
        min_last_seen_at = self._clock.monotonic() - self._settings.relay_max_age
        leavers = [self._processes.get(process) for process in self._recent_leavers]
        leavers = [known for known in leavers if known is not None]
        candidates = [
            known
            for known in self._processes
            if known.is_connected
            and known.last_seen_at is not None
            and known.last_seen_at >= min_last_seen_at
            and not self._is_unresponsive(known)
            and known not in leavers
        ]
        chosen = leavers[max(0, len(leavers) - self._settings.statuses) :]
        count = min(self._settings.statuses - len(chosen), len(candidates))
        chosen += self._random.sample(candidates, count)
        return tuple(
            ProcessStatus(known.process, known.is_leaving, known.catalogue_revision)
            for known in chosen
        )

    def _handle_direct_status(self, peer, status):
        if status.process != peer:
            return False
        known = self._processes.get(peer)
        if known is None and self._processes.get_current(peer.vm) is None:
            known = self._processes.register(peer)
        if known is None:
            # An earlier boot, or a later one whose connection wasn't reported yet.
            return False
        was_unresponsive = self._is_unresponsive(known)
        known.last_seen_at = self._clock.monotonic()
        if known.is_connected:
            # A message that arrives after the connection was lost was delayed on its
            # way, and doesn't show that the peer still runs.
            known.unanswered_since = None
        return self._merge_status(known, status) or was_unresponsive

    def _handle_relayed_status(self, status):
        if status.process.vm == self.vm_id:
            return False
        known = self._processes.get(status.process)
        is_new = known is None
        if is_new:
            current = self._processes.get_current(status.process.vm)
            if current is not None and not self._is_unresponsive(current):
                return False
            known = self._processes.register(status.process)
        if known is None:
            return False
        # Unless the process is leaving, the sender relays its status only if it has
        # received a message from it within relay_max_age.
        if not status.leaving:
            at = self._clock.monotonic() - self._settings.relay_max_age
            known.last_relayed_at = max(known.last_relayed_at or at, at)
        return self._merge_status(known, status) or is_new

    def _merge_status(self, known, status):
        is_new_leaver = status.leaving and not known.is_leaving
        if is_new_leaver:
            self._processes.mark_leaving(known)
            self._recent_leavers[known.process] = self._clock.monotonic()
        known.catalogue_revision = max(
            known.catalogue_revision, status.catalogue_revision
        )
        if self._on_status is not None:
            self._on_status(known.process, status.catalogue_revision)
        return is_new_leaver

    def _is_unresponsive(self, known):
        return known.is_unresponsive(self._clock.monotonic(), self._settings)

    def _update_members(self):
        self._reset_timeouts_after_pause()
        now = self._clock.monotonic()
        for process, since in list(self._recent_leavers.items()):
            if now - since >= self._settings.missing_margin:
                del self._recent_leavers[process]
        members = tuple(self._list_members())
        previous, self._members = self._members, members
        if members != previous:
            self._on_change()

    def _list_members(self):
        for record in self._listed.list_records():
            known = self._processes.get_current(record.vm)
            if known is None or record.vm == self.vm_id:
                continue
            state = self._get_state(known, record)
            if state is not None:
                yield Member(known.process, record, state, known.catalogue_revision)

    def _get_state(self, known, record):
        is_unresponsive = self._is_unresponsive(known)
        is_gone = self._listed.is_gone(record.vm)
        if is_gone and is_unresponsive:
            return None
        if known.is_leaving or record.state is VmState.LEAVING:
            return MemberState.LEAVING
        if is_gone or is_unresponsive:
            return MemberState.SUSPECT
        return MemberState.LIVE
