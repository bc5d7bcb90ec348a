import unittest
from datetime import timedelta

from balsamspoke_membership import MembershipSettings, MemberState
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import Heartbeat, HeartbeatAnswer, ProcessStatus
from balsamspoke_types.ports import VmState

from .fleet import Fleet

LIVE, SUSPECT, LEAVING = MemberState


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet("abcd")
        self.fleet.advance(5)
        self.a = self.fleet.processes["a"]

    def test_all_are_live(self):
        self.assertEqual(self.a.states(), {"b": LIVE, "c": LIVE, "d": LIVE})

    def test_leaving_is_seen_at_once(self):
        self.fleet.processes["b"].membership.announce_leaving()
        self.fleet.advance(0.01)
        self.assertEqual(self.a.states()["b"], LEAVING)

    def test_leaving_shown_by_the_vm_list_alone_is_seen(self):
        self.fleet.list("b", VmState.LEAVING)
        self.fleet.advance(2.1)
        self.assertEqual(self.a.states()["b"], LEAVING)

    def test_leaving_reaches_a_process_cut_from_the_one_that_leaves(self):
        self.fleet.network.cut_between("a", "b")
        self.fleet.processes["b"].membership.announce_leaving()
        self.fleet.advance(1.1)
        self.assertEqual(self.a.states()["b"], LEAVING)

    def test_older_status_does_not_revoke_leaving(self):
        b = self.fleet.processes["b"].id
        self.fleet.processes["b"].membership.announce_leaving()
        self.fleet.advance(0.01)
        old = ProcessStatus(b, False, 0)
        c = ProcessStatus(self.fleet.processes["c"].id, False, 0)
        self.a.membership.peer_message(b, HeartbeatAnswer(1, old))
        self.a.membership.peer_message(c.process, Heartbeat(1, c, (old,)))
        self.assertEqual(self.a.states()["b"], LEAVING)

    def test_new_boot_replaces_the_old_at_once(self):
        old = self.fleet.processes["b"]
        old.membership.announce_leaving()
        self.fleet.kill("b")
        new = self.fleet.start("b")
        self.fleet.advance(0.5)
        self.a.membership.peer_message(
            old.id, Heartbeat(9, ProcessStatus(old.id, True, 0))
        )
        found = {m.process.vm: m for m in self.a.membership.members()}["b"]
        self.assertEqual((found.process, found.state), (new.id, LIVE))

    def test_relayed_status_of_a_replaced_boot_is_ignored(self):
        old = self.fleet.processes["b"].id
        self.fleet.kill("b")
        new = self.fleet.start("b")
        self.fleet.advance(0.5)
        self.fleet.kill("b")
        self.fleet.advance(5)
        c = ProcessStatus(self.fleet.processes["c"].id, False, 0)
        relayed = ProcessStatus(old, False, 0)
        self.a.membership.peer_message(c.process, Heartbeat(1, c, (relayed,)))
        found = {m.process.vm: m for m in self.a.membership.members()}["b"]
        self.assertEqual((found.process, found.state), (new.id, SUSPECT))

    def test_lost_connection_starts_the_suspect_timeout(self):
        b = self.fleet.processes["b"].id
        self.fleet.network.cut_between("a", "b")
        self.a.membership.peer_disconnected(b)
        self.assertEqual(self.a.states()["b"], LIVE)
        self.fleet.advance(2.5)
        self.assertEqual(self.a.states()["b"], LIVE)
        self.fleet.advance(1.6)
        self.assertEqual(self.a.states()["b"], SUSPECT)

    def test_late_message_of_a_lost_peer_does_not_defer_its_suspicion(self):
        # Found by the soak (seeds 1 to 3): a killed process stayed live for 10 s, as
        # its last message arrived after the loss of its connection.
        b = self.fleet.processes["b"].id
        self.fleet.kill("b")
        self.fleet.advance(2)
        late = Heartbeat(9, ProcessStatus(b, False, 0))
        self.a.membership.peer_message(b, late)
        self.fleet.advance(2)
        self.assertEqual(self.a.states()["b"], SUSPECT)

    def test_killed_process_is_suspect_and_gone_with_its_vm(self):
        self.fleet.kill("b")
        self.fleet.advance(5)
        self.assertEqual(self.a.states()["b"], SUSPECT)
        self.fleet.unlist("b")
        self.fleet.advance(33)
        self.assertNotIn("b", self.a.states())

    def test_vm_missing_from_the_list_is_suspect_only_after_the_margin(self):
        self.fleet.unlist("b")
        self.fleet.advance(29)
        self.assertEqual(self.a.states()["b"], LIVE)
        self.fleet.advance(5)
        self.assertEqual(self.a.states()["b"], SUSPECT)
        self.fleet.list("b")
        self.fleet.advance(3)
        self.assertEqual(self.a.states()["b"], LIVE)

    def test_no_peer_is_suspect_after_a_pause_of_the_observer(self):
        self.a.clock.pause()
        self.fleet.advance(60)
        changes = self.a.changes
        self.a.clock.resume()
        self.fleet.advance(5)
        self.assertEqual(set(self.a.states().values()), {LIVE})
        self.assertEqual(self.a.changes, changes)

    def test_unanswered_heartbeat_gets_a_new_timeout_after_a_pause(self):
        self.fleet.network.loss_rate = 1.0
        self.fleet.advance(1.1)
        self.a.clock.pause()
        self.fleet.network.loss_rate = 0.0
        self.fleet.advance(60)
        changes = self.a.changes
        self.a.clock.resume()
        self.fleet.advance(5)
        self.assertEqual(self.a.changes, changes)

    def test_list_outage_changes_nothing(self):
        self.fleet.vms.available = False
        self.fleet.advance(120)
        self.assertEqual(set(self.a.states().values()), {LIVE})

    def test_members_by_role_carry_the_revision(self):
        self.fleet.processes["b"].revision = 7
        self.fleet.advance(2)
        revisions = [m.catalogue_revision for m in self.a.membership.members("entry")]
        self.assertEqual(revisions, [7, 0, 0])
        self.assertEqual(self.a.membership.members("side"), ())

    def test_vm_list_is_passed_on_with_the_time_of_its_request(self):
        self.assertIn(timedelta(0), self.a.vms_requested_at)

    def test_relayed_process_without_listed_vm_is_no_member(self):
        unknown = ProcessStatus(ProcessId("x", 1), False, 0)
        c = ProcessStatus(self.fleet.processes["c"].id, False, 0)
        self.a.membership.peer_message(c.process, Heartbeat(1, c, (unknown,)))
        self.assertNotIn("x", self.a.states())


class LargerFleetTest(unittest.TestCase):
    def start(self, statuses):
        settings = MembershipSettings(probes=1, statuses=statuses)
        fleet = Fleet("abcdefghijkl", settings=settings)
        fleet.advance(5)
        return fleet

    def find_uninformed(self, fleet):
        return [
            vm
            for vm, process in fleet.processes.items()
            if vm != "a" and process.states()["a"] is not LEAVING
        ]

    def test_lost_announcement_is_repeated(self):
        fleet = self.start(statuses=0)
        fleet.network.loss_rate = 1.0
        leaver = fleet.processes["a"].membership
        leaver.announce_leaving()
        for process in fleet.processes.values():
            # An answer to an earlier heartbeat doesn't acknowledge the announcement.
            earlier_answer = HeartbeatAnswer(0, ProcessStatus(process.id, False, 0))
            leaver.peer_message(process.id, earlier_answer)
        fleet.network.loss_rate = 0.0
        self.assertEqual(len(self.find_uninformed(fleet)), 11)
        fleet.advance(1.1)
        self.assertEqual(self.find_uninformed(fleet), [])

    def test_lost_probe_is_repeated_before_the_peer_is_suspect(self):
        fleet = self.start(statuses=0)
        fleet.network.loss_rate = 1.0
        fleet.advance(1.1)
        fleet.network.loss_rate = 0.0
        changes = [process.changes for process in fleet.processes.values()]
        fleet.advance(8)
        self.assertEqual(
            [process.changes for process in fleet.processes.values()], changes
        )

    def test_leaving_is_relayed_first(self):
        fleet = self.start(statuses=1)
        fleet.network.cut_between("a", "cdefghijkl")
        fleet.processes["a"].membership.announce_leaving()
        fleet.advance(6)
        self.assertEqual(self.find_uninformed(fleet), [])
