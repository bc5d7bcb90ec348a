import unittest
from datetime import timedelta

from balsamspoke_ctl import ExitCode
from balsamspoke_types.objects import Kind

from .harness import CATALOGUE, CtlHarness

STEP = timedelta(milliseconds=1)


class ObjectCommandTests(unittest.TestCase):
    def setUp(self):
        self.harness = CtlHarness(self)
        self.path = self.harness.write(CATALOGUE)

    def find(self, kind, name):
        return self.harness.state.objects.get((kind, name))

    def test_apply_writes_in_order_and_is_idempotent(self):
        self.assertEqual(self.harness.run("diff", self.path)[0], ExitCode.DIFFERENT)
        code, results, _ = self.harness.run("apply", self.path)
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("+ adapters/tides", results)
        kinds = [stored.kind for stored in self.harness.state.history]
        self.assertEqual(kinds, [Kind.TEAM, Kind.MODEL, Kind.ADAPTER])
        code, results, _ = self.harness.run("apply", self.path)
        self.assertEqual((code, results), (ExitCode.OK, "0 written, 3 unchanged\n"))
        self.assertEqual(self.harness.run("diff", self.path)[0], ExitCode.OK)

    def test_update_shows_the_fields(self):
        self.harness.run("apply", self.path)
        self.harness.write(CATALOGUE.replace("rate: 100", "rate: 200"))
        code, results, _ = self.harness.run("diff", self.path)
        self.assertEqual(code, ExitCode.DIFFERENT)
        self.assertEqual(results, "~ teams/hotel\n    rate: 100.0 -> 200.0\n")

    def test_all_problems_are_reported_with_their_lines(self):
        broken = CATALOGUE.replace("rate: 100", "rate: fast").replace(
            "default_version: 1", "default_version: 1\n  colour: red"
        )
        other = self.harness.write("- kind: boats\n- 7\n- {kind: teams}\n", "b.yaml")
        unreadable = self.harness.write("a: [\n", "c.yaml")
        missing = str(self.harness.folder / "none.yaml")
        path = self.harness.write(broken, "a.yaml")
        files = (path, other, unreadable, missing)
        code, _, problems = self.harness.run("validate", *files)
        self.assertEqual(code, ExitCode.INVALID)
        for place in ("a.yaml:3:", "a.yaml:12:", "b.yaml:1:", "b.yaml:2:", "b.yaml:3:"):
            self.assertIn(place, problems)
        self.assertIn("c.yaml:2:", problems)
        self.assertIn("none.yaml:1:", problems)
        self.assertEqual(self.harness.run("apply", *files)[0], ExitCode.INVALID)
        self.assertEqual(self.harness.state.history, [])

    def test_references_are_checked_against_the_stored_catalogue(self):
        adapter = CATALOGUE[CATALOGUE.index("- kind: adapters") :]
        path = self.harness.write(adapter, "adapter.yaml")
        code, _, problems = self.harness.run("apply", path)
        self.assertEqual(code, ExitCode.INVALID)
        self.assertIn("adapter.yaml:3:", problems)
        self.assertIn("adapter.yaml:4:", problems)
        self.harness.run("apply", self.path)
        self.assertEqual(self.harness.run("apply", path)[0], ExitCode.OK)

    def test_existing_problem_elsewhere_blocks_no_other_change(self):
        self.harness.run("apply", self.path)
        self.harness.run("key", "issue", "hotel", "--name", "k")
        self.harness.state.put(Kind.TEAM, "odd", b'{"rate": -1, "burst": 1}')
        more = "- {kind: teams, name: inn, rate: 1, burst: 1}\n"
        path = self.harness.write(more, "more.yaml")
        self.assertEqual(self.harness.run("apply", path)[0], ExitCode.OK)
        self.assertEqual(self.harness.run("key", "withdraw", "k")[0], ExitCode.OK)
        odd = "- {kind: teams, name: odd, rate: -1, burst: 1}\n"
        path = self.harness.write(odd, "odd.yaml")
        self.assertEqual(self.harness.run("apply", path)[0], ExitCode.INVALID)

    def test_fields_and_objects_given_twice_are_reported(self):
        path = self.harness.write(CATALOGUE.replace("  burst", "  rate: 1\n  burst"))
        self.assertIn(":4: rate is given twice", self.harness.run("diff", path)[2])
        path = self.harness.write(CATALOGUE + CATALOGUE)
        self.assertIn(
            ":13: teams/hotel is given twice", self.harness.run("diff", path)[2]
        )

    def test_concurrent_change_shows_both_sides_and_is_not_overwritten(self):
        self.harness.run("apply", self.path)
        self.harness.write(CATALOGUE.replace("rate: 100", "rate: 200"))
        mine = self.harness.start("apply", self.path)
        self.harness.write(CATALOGUE.replace("rate: 100", "rate: 300"), "b.yaml")
        theirs = self.harness.start(
            "apply", str(self.harness.folder / "b.yaml"), seed=1
        )
        self.harness.time.advance(timedelta(minutes=1))
        outcomes = sorted([mine.get_outcome(), theirs.get_outcome()])
        self.assertEqual(
            [outcome[0] for outcome in outcomes],
            [ExitCode.OK, ExitCode.CONFLICT],
        )
        self.assertIn("300.0", outcomes[1][2])
        self.assertIn("200.0", outcomes[1][2])
        self.assertEqual(len(self.harness.state.history), 4)

    def test_same_change_by_somebody_else_is_no_conflict(self):
        runs = [self.harness.start("apply", self.path) for _ in range(2)]
        self.harness.time.advance(timedelta(minutes=1))
        outcomes = [run.get_outcome() for run in runs]
        self.assertEqual(
            [outcome[0] for outcome in outcomes], [ExitCode.OK, ExitCode.OK]
        )
        shared = [outcome[1].count("somebody else") for outcome in outcomes]
        self.assertEqual(sum(shared), 3)
        self.assertEqual(len(self.harness.state.history), 3)

    def test_outcomes_of_lost_replies_are_resolved(self):
        for seed in range(20):
            harness = CtlHarness(self)
            path = harness.write(CATALOGUE)
            run = harness.start("apply", path, seed=seed)
            run.store.lost_reply_rate = 0.3
            harness.time.advance(timedelta(minutes=5))
            code, results, _ = run.get_outcome()
            self.assertNotIn("somebody else", results)
            if code == ExitCode.OK:
                self.assertEqual(len(harness.state.history), 3)
            else:
                # The listing failed three times before any write.
                self.assertEqual(code, ExitCode.UNAVAILABLE)
                self.assertEqual(harness.state.history, [])

    def test_apply_can_be_repeated_after_an_outage_during_a_write(self):
        run = self.harness.start("--timeout", "10", "apply", self.path)
        while not self.harness.state.history:
            self.harness.time.advance(STEP)
        self.harness.state.available = False
        self.harness.time.advance(timedelta(minutes=5))
        code = run.get_outcome()[0]
        self.assertIn(code, (ExitCode.UNKNOWN, ExitCode.UNAVAILABLE))
        self.harness.state.available = True
        self.assertEqual(self.harness.run("apply", self.path)[0], ExitCode.OK)
        self.assertEqual(len(self.harness.state.history), 3)

    def test_write_of_unknown_outcome_is_reported(self):
        run = self.harness.start("--timeout", "10", "apply", self.path)
        run.store.is_lost = lambda what: bool(self.harness.state.history)
        self.harness.time.advance(timedelta(minutes=5))
        code, _, problems = run.get_outcome()
        self.assertEqual(code, ExitCode.UNKNOWN)
        self.assertIn("teams/hotel: it isn't known", problems)

    def test_outage_after_a_lost_reply_is_an_unknown_outcome(self):
        run = self.harness.start("--timeout", "10", "apply", self.path)
        run.store.is_lost = lambda what: bool(self.harness.state.history)
        while not self.harness.state.history:
            self.harness.time.advance(STEP)
        # The lost reply and the lost read-back time out after two seconds each.
        self.harness.time.advance(timedelta(seconds=4.5))
        run.store.reachable = False
        self.harness.time.advance(timedelta(minutes=5))
        self.assertEqual(run.get_outcome()[0], ExitCode.UNKNOWN)

    def test_get_list_and_delete(self):
        self.harness.run("apply", self.path)
        code, documents = self.harness.run_json("get", "adapters", "tides")
        self.assertEqual((code, documents[0]["versions"]), (ExitCode.OK, [1, 2]))
        code, documents = self.harness.run_json("list", "adapters", "--team", "hotel")
        self.assertEqual([item["name"] for item in documents[0]["objects"]], ["tides"])
        code, _, problems = self.harness.run("delete", "teams", "hotel")
        self.assertEqual(code, ExitCode.INVALID)
        self.assertIn("adapters/tides.team", problems)
        self.assertEqual(
            self.harness.run("delete", "adapters", "tides")[0], ExitCode.OK
        )
        self.assertEqual(self.harness.run("delete", "teams", "hotel")[0], ExitCode.OK)
        self.assertIsNone(self.find(Kind.TEAM, "hotel"))
        code = self.harness.run("get", "teams", "hotel")[0]
        self.assertEqual(code, ExitCode.NOT_FOUND)
