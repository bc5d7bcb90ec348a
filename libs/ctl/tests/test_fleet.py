import unittest
from datetime import timedelta

from balsamspoke_ctl import ExitCode
from balsamspoke_types.ports import VmState

from .harness import CATALOGUE, CtlHarness


def make_status(revision, **fields):
    document = {"catalogue_revision": revision, "catalogue_complete": True, **fields}
    return {"/status": document}


class FleetCommandTests(unittest.TestCase):
    def setUp(self):
        self.harness = CtlHarness(self)
        self.path = self.harness.write(CATALOGUE)
        self.documents = self.harness.status.documents
        for name in ("a", "b"):
            self.harness.add_vm(name)
            self.documents[name] = make_status(0, ready=True)

    def test_apply_waits_until_it_is_in_force_everywhere(self):
        run = self.harness.start("apply", "--wait", self.path)
        self.harness.time.advance(timedelta(seconds=2))
        self.documents["a"] = make_status(3)
        self.harness.time.advance(timedelta(seconds=2))
        self.assertNotIn("in force", run.results.getvalue())
        self.documents["b"] = make_status(4)
        self.harness.time.advance(timedelta(seconds=2))
        code, results, _ = run.get_outcome()
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("in force on all 2 processes (revision 3)", results)

    def test_not_in_force_names_lagging_processes(self):
        self.harness.run("apply", self.path)
        self.documents["a"] = make_status(3)
        del self.documents["b"]
        self.harness.add_vm("gone", state=VmState.LEAVING)
        code, _, problems = self.harness.run("wait")
        self.assertEqual(code, ExitCode.NOT_IN_FORCE)
        self.assertIn("b (doesn't answer)", problems)
        self.assertNotIn("gone", problems)

    def test_incomplete_catalogue_is_not_in_force(self):
        self.documents["a"] = make_status(9)
        self.documents["b"] = {
            "/status": {"catalogue_revision": 9, "catalogue_complete": False}
        }
        code = self.harness.run("wait", "--revision", "3")[0]
        self.assertEqual(code, ExitCode.NOT_IN_FORCE)

    def test_empty_vm_list_is_not_in_force(self):
        self.harness.vms.set([])
        code = self.harness.run("wait", "--revision", "0")[0]
        self.assertEqual(code, ExitCode.NOT_IN_FORCE)

    def test_status_shows_loaded_adapters_and_unresponsive_processes(self):
        self.harness.add_vm("s", role="side", service="porto")
        replica = {"running": 2, "queued": 5, "adapters": ["tides:1"]}
        self.documents["s"] = make_status(0, replica=replica)
        code, results, _ = self.harness.run("status")
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("tides:1", results)
        for adapter in ("tides", "tides:1"):
            code, (document,) = self.harness.run_json("status", "--adapter", adapter)
            self.assertEqual([item["vm"] for item in document["processes"]], ["s"])
        code = self.harness.run("status", "--adapter", "tides:2")[0]
        self.assertEqual(code, ExitCode.NOT_FOUND)
        del self.documents["a"]
        code, results, _ = self.harness.run("status")
        self.assertEqual(code, ExitCode.UNAVAILABLE)
        self.assertIn("doesn't answer", results)

    def test_status_of_a_team_shows_its_keys_and_loaded_adapters(self):
        self.harness.run("apply", self.path)
        self.harness.run("key", "issue", "hotel", "--name", "k")
        self.harness.add_vm("s", role="side", service="porto")
        replica = {"adapters": ["tides:1", "other:1"]}
        self.documents["s"] = make_status(0, replica=replica)
        code, (document,) = self.harness.run_json("status", "--team", "hotel")
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual((document["adapters"], document["keys"]), (1, ["k"]))
        self.assertEqual(document["loaded"], {"s": ["tides:1"]})
        code = self.harness.run("status", "--team", "none")[0]
        self.assertEqual(code, ExitCode.NOT_FOUND)

    def test_vm_list_outage_is_reported_as_unavailable(self):
        self.harness.vms.available = False
        self.assertEqual(self.harness.run("status")[0], ExitCode.UNAVAILABLE)

    def test_explain_shows_a_record_or_names_unresponsive_processes(self):
        self.documents["b"]["/explain/r%2F1"] = {"request": "r/1", "team": "hotel"}
        code, (document,) = self.harness.run_json("explain", "r/1")
        self.assertEqual((code, document["entry"]), (ExitCode.OK, "b"))
        del self.documents["b"]
        code, _, problems = self.harness.run("explain", "r/1")
        self.assertEqual(code, ExitCode.NOT_FOUND)
        self.assertIn("didn't answer: b", problems)
