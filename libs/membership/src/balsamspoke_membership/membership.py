"""Tell which processes are live, from the VM list and from heartbeats."""

from balsamspoke_types.messages import Heartbeat, HeartbeatAnswer, ProcessStatus
from balsamspoke_types.ports import VmState

from .known import KnownProcesses
from .listed import ListedVms
from .members import Member, MemberState
from .probing import ProbeRounds
from .settings import MembershipSettings


class Membership:
    """One process's view of the fleet.

    Parameters
    ----------
    process : ProcessId
        Whose view it is.
    vm_id : str
        Its VM.
    clock : Clock
        Time.
    random_source : random.Random
        Orders the probes.
    vm_list : VmList
        Says which VMs exist.
    transport : PeerTransport
        Carries the heartbeats.
    settings : MembershipSettings or None
        Intervals and margins.
    get_revision : callable
        Returns the own catalogue's revision.
    on_change : callable
        Called without arguments after the members changed.
    on_vms : callable
        Called with the records of each new VM list, and the monotonic time at
        which it was asked for.
    is_wanted : callable
        Called with a VmRecord; whether to keep a connection to its process.
    on_status : callable, optional
        Called with a ProcessId and its catalogue revision when it is heard of.
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
        on_vms,
        is_wanted,
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
        self._on_vms = on_vms
        self._is_wanted = is_wanted
        self._on_status = on_status
        self._listed = ListedVms(clock, self._settings.missing_margin)
        self._known = KnownProcesses()
        self._rounds = ProbeRounds(random_source)
        self._wanted = set()
        self._leaving_news = {}
        self._leaving = False
        self._leaving_rounds = 0
        self._sequence = 0
        self._probed_at = None
        self._asked = None
        self._members = ()
        self._timers = {}
        self._running = False

    def start(self):
        """Begin to read the VM list and to probe."""
        self._running = True
        self._read_list()
        delay = self._settings.probe_interval * self._random.random()
        self._timers["probe"] = self._clock.call_later(delay, self._probe)

    def stop(self):
        """End all timers; nothing is told any more."""
        self._running = False
        for timer in self._timers.values():
            timer.cancel()

    def announce_leaving(self):
        """Tell all connected peers now, and again for some rounds."""
        self._leaving = True
        self._leaving_rounds = self._settings.leaving_repeats
        self._tell_all()

    def peer_connected(self, peer):
        """Take a connected process as its VM's present one."""
        known = self._known.install(peer)
        if known is None:
            return
        known.connected = True
        self._send_heartbeat(known)
        self._update()

    def peer_disconnected(self, peer):
        """Probe a peer whose connection was lost; no verdict by itself."""
        known = self._known.get(peer)
        if known is not None:
            known.connected = False
            known.probed_at = known.probed_at or self._clock.monotonic()
            self._update()

    def peer_message(self, peer, message):
        """Take a message; return whether it is one of the membership's."""
        if not isinstance(message, Heartbeat | HeartbeatAnswer):
            return False
        if not self._running:
            return True
        changed = self._take_status(peer, message.status)
        for status in message.others:
            changed |= self._take_hearsay(status)
        if isinstance(message, Heartbeat):
            answer = HeartbeatAnswer(
                message.sequence, self._get_status(), self._choose_statuses()
            )
            self._transport.send(peer, answer)
        if changed:
            # Else the next round of probes brings the members up to date.
            self._update()
        return True

    def members(self, role=None, service=None):
        """Return the Members, without the own process, by VM.

        Parameters
        ----------
        role, service : str, optional
            Only those whose VM has them.
        """
        return tuple(
            member
            for member in self._members
            if role in (None, member.vm.role) and service in (None, member.vm.service)
        )

    def _read_list(self):
        now = self._clock.monotonic()
        self._timers["list"] = self._clock.call_later(
            self._settings.list_interval, self._read_list
        )
        if self._asked is not None and now - self._asked < self._settings.list_timeout:
            return
        self._asked = now
        fetched = self._vm_list.fetch()
        fetched.addCallbacks(self._take_list, self._miss_list, callbackArgs=(now,))

    def _miss_list(self, _failure):
        self._asked = None

    def _take_list(self, records, asked):
        if not self._running or self._asked != asked:
            return
        self._asked = None
        self._listed.take(records)
        self._keep_connections()
        self._on_vms(records, asked)
        self._update()

    def _keep_connections(self):
        for record in self._listed.list_records():
            if record.vm == self.vm_id:
                continue
            if self._is_forgettable(record.vm):
                self._listed.forget(record.vm)
                self._known.forget_vm(record.vm)
                self._drop(record.vm)
            elif self._is_wanted(record):
                self._wanted.add(record.vm)
                self._transport.connect(record)
            else:
                self._drop(record.vm)
        self._forget_unlisted()

    def _forget_unlisted(self):
        for known in self._known:
            is_listed = self._listed.get(known.process.vm) is not None
            if not is_listed and not known.connected and self._is_silent(known):
                self._known.forget_vm(known.process.vm)

    def _is_forgettable(self, vm_id):
        known = self._known.get_present(vm_id)
        is_silent = known is None or self._is_silent(known)
        return self._listed.is_gone(vm_id) and is_silent

    def _drop(self, vm_id):
        if vm_id in self._wanted:
            self._wanted.discard(vm_id)
            self._transport.disconnect(vm_id)

    def _probe(self):
        self._forgive_after_pause()
        self._probed_at = self._clock.monotonic()
        self._timers["probe"] = self._clock.call_later(
            self._settings.probe_interval, self._probe
        )
        connected = [known for known in self._known if known.connected]
        if self._leaving_rounds > 0:
            self._leaving_rounds -= 1
            self._tell_all()
        else:
            by_process = {known.process: known for known in connected}
            drawn = set(self._rounds.draw(by_process, self._settings.probes))
            drawn |= {known.process for known in connected if known.probed_at}
            for process in sorted(drawn):
                self._send_heartbeat(by_process[process])
        self._update()

    def _forgive_after_pause(self):
        now = self._clock.monotonic()
        before = self._probed_at
        after = self._settings.suspect_after
        if before is None or now - before < after:
            return
        # This process was paused; the answers may wait to be read.
        self._probed_at = now
        for known in self._known:
            if known.probed_at is not None and before - known.probed_at < after:
                known.probed_at = now

    def _tell_all(self):
        for known in self._known:
            if known.connected:
                self._send_heartbeat(known)

    def _send_heartbeat(self, known):
        self._sequence += 1
        known.probed_at = known.probed_at or self._clock.monotonic()
        heartbeat = Heartbeat(
            self._sequence, self._get_status(), self._choose_statuses()
        )
        self._transport.send(known.process, heartbeat)

    def _get_status(self):
        return ProcessStatus(self.process, self._leaving, self._get_revision())

    def _choose_statuses(self):
        oldest = self._clock.monotonic() - self._settings.recent
        news = [self._known.get(process) for process in self._leaving_news]
        news = [known for known in news if known is not None]
        fresh = [
            known
            for known in self._known
            if known.connected
            and known.heard_at is not None
            and known.heard_at >= oldest
            and not self._is_silent(known)
            and known not in news
        ]
        chosen = news[max(0, len(news) - self._settings.statuses) :]
        room = min(self._settings.statuses - len(chosen), len(fresh))
        chosen += self._random.sample(fresh, room)
        return tuple(
            ProcessStatus(known.process, known.leaving, known.catalogue_revision)
            for known in chosen
        )

    def _take_status(self, peer, status):
        if status.process != peer:
            return False
        known = self._known.get(peer)
        if known is None and self._known.get_present(peer.vm) is None:
            known = self._known.install(peer)
        if known is None:
            # An earlier boot, or a later one whose connection isn't known yet.
            return False
        was_silent = self._is_silent(known)
        known.heard_at = self._clock.monotonic()
        known.probed_at = None
        return self._merge(known, status) or was_silent

    def _take_hearsay(self, status):
        if status.process.vm == self.vm_id:
            return False
        known = self._known.get(status.process)
        is_new = known is None
        if is_new:
            present = self._known.get_present(status.process.vm)
            if present is not None and not self._is_silent(present):
                return False
            known = self._known.install(status.process)
        if known is None:
            return False
        # The sender heard it so lately at least, unless it tells of a leaving.
        if not status.leaving:
            at = self._clock.monotonic() - self._settings.recent
            known.passed_on_at = max(known.passed_on_at or at, at)
        return self._merge(known, status) or is_new

    def _merge(self, known, status):
        is_news = status.leaving and not known.leaving
        if is_news:
            self._known.note_leaving(known)
            self._leaving_news[known.process] = self._clock.monotonic()
        known.catalogue_revision = max(
            known.catalogue_revision, status.catalogue_revision
        )
        if self._on_status is not None:
            self._on_status(known.process, status.catalogue_revision)
        return is_news

    def _is_silent(self, known):
        """Whether nothing was heard of a process for long enough to suspect it."""
        now = self._clock.monotonic()
        after = self._settings.suspect_after
        if known.connected or known.probed_at is not None:
            return known.probed_at is not None and now - known.probed_at >= after
        last = max(
            (at for at in (known.heard_at, known.passed_on_at) if at is not None),
            default=None,
        )
        return last is None or now - last >= after + self._settings.recent

    def _update(self):
        self._forgive_after_pause()
        now = self._clock.monotonic()
        for process, since in list(self._leaving_news.items()):
            if now - since >= self._settings.missing_margin:
                del self._leaving_news[process]
        members = tuple(self._list_members())
        before, self._members = self._members, members
        if members != before:
            self._on_change()

    def _list_members(self):
        for record in self._listed.list_records():
            known = self._known.get_present(record.vm)
            if known is None or record.vm == self.vm_id:
                continue
            state = self._get_state(known, record)
            if state is not None:
                yield Member(known.process, record, state, known.catalogue_revision)

    def _get_state(self, known, record):
        is_silent = self._is_silent(known)
        is_gone = self._listed.is_gone(record.vm)
        if is_gone and is_silent:
            return None
        if known.leaving or record.state is VmState.LEAVING:
            return MemberState.LEAVING
        if is_gone or is_silent:
            return MemberState.SUSPECT
        return MemberState.LIVE
