"""The retry budget over each way in which processes start again. Run by hand: some three minutes."""

import itertools
import time
import unittest

from driver import call, wait_until
from hosted_nodes import DATA_CENTRES
from retry_budget_test import RetryBudget

KILLS = (4, 7, 10)
ALL_NODES = range(len(DATA_CENTRES))


class RetryBudgetStarts(RetryBudget):
    # The tests of the base class run in CI.
    test_nodes_without_faults_of_their_own_keep_the_budget = None
    test_nodes_killed_with_the_settings_of_their_first_start_keep_the_budget = None

    def before_nodes(self):
        def listens():
            try:
                return call(self.control, "GET", "/counts").status == 200
            except OSError:
                return False
        wait_until(listens, "the platform listens")
        call(self.control, "POST", "/copy")

    def command(self, path):
        self.assertEqual(call(self.control, "POST", path).status, 200)

    def assert_kept(self, seconds=14, kills=KILLS, restart=None, behaviour="away=1"):
        worst = self.worst_of(behaviour, seconds, kills, restart)
        self.assertLessEqual(worst.retries, worst.allowed)

    def test_new_settings(self):
        for i in ALL_NODES:
            file = self.directory / f"edge-{i}.toml"
            file.write_text(file.read_text().replace("cold_start = true", "cold_start = false"))
        self.assert_kept()

    def test_all_by_a_supervisor_each_second_for_a_minute(self):
        self.assert_kept(62, range(1, 61), lambda: self.restart(pause=0.01))

    def test_one_by_one_each_second_for_half_a_minute(self):
        nodes = itertools.cycle(ALL_NODES)
        self.assert_kept(32, range(1, 31), lambda: self.restart([next(nodes)], pause=0.01))

    def test_all_but_one(self):
        self.assert_kept(restart=lambda: self.restart(ALL_NODES[1:]))

    def test_closed_connections(self):
        self.assert_kept(behaviour="closes=1")

    def test_long_after_the_first_start(self):
        time.sleep(25)
        self.assert_kept(kills=(0, 3, 6, 9))

    def test_stopped_and_continued(self):
        def stop_and_continue():
            for node in ALL_NODES:
                self.process_of(node).send_signal(19)
            time.sleep(2)
            for node in ALL_NODES:
                self.process_of(node).send_signal(18)
        self.assert_kept(restart=stop_and_continue)

    def restart_beside(self, before, after, pause=0.0):
        for path in before:
            self.command(path)
        self.restart()
        time.sleep(pause)
        for path in after:
            self.command(path)

    def test_store_away_for_a_moment(self):
        self.assert_kept(restart=lambda: self.restart_beside(["/store?down=1"], ["/store?down=0"], 1))

    def test_store_away_for_longer_than_a_start_is_undecided(self):
        self.assert_kept(18, (4, 10), lambda: self.restart_beside(
            ["/store?down=1"], ["/store?down=0"], 4))

    def test_store_that_answers_slowly(self):
        self.assert_kept(restart=lambda: self.restart_beside(["/rate?bytes_per_s=2000"], ["/rate?bytes_per_s=0"], 2))

    def test_store_restored_to_before_the_rows_of_all_nodes(self):
        self.assert_kept(restart=lambda: self.restart_beside(["/restore?again=0"], []))

    def test_store_restored_and_written_again(self):
        self.assert_kept(restart=lambda: self.restart_beside(["/restore?again=1"], []))


class RetryBudgetInTheFirstWindow(RetryBudgetStarts):
    """Nodes that are killed before they have served their first request."""

    def setUp(self):
        super(RetryBudget, self).setUp()
        self.loads = []

    def test_killed_before_the_first_request(self):
        time.sleep(0.2)
        self.restart()
        time.sleep(0.6)
        self.restart()
        self.assert_kept(kills=(3,))

    def test_killed_in_the_first_window(self):
        self.assert_kept(kills=(0.3, 1, 2, 4))


class RetryBudgetOnEveryWay(RetryBudgetStarts):
    """Arrivals that no target refuses: held back, handed over, run twice, cut with their node."""

    def stores(self, port):
        ports = call(self.control, "GET", "/paths").json["stores"]
        return dict(zip(sorted(set(DATA_CENTRES)), ports))

    def set_paths(self, places, state):
        for place in places:
            self.command(f"/paths?node={place}&state={state}")

    def test_bytes_held_back_and_delivered_later(self):
        places = itertools.cycle([[0], [1], [0, 1], [0, 1, 2]])

        def hold():
            held = next(places)
            self.set_paths(held, "silent")
            time.sleep(1.5)
            self.set_paths(held, "open")
        for behaviour in ("", "away=1"):
            self.assert_kept(14, range(1, 13, 2), hold, behaviour)

    def test_answers_held_back(self):
        def hold():
            self.set_paths([0, 1], "one-way")
            time.sleep(1.5)
            self.set_paths([0, 1], "open")
        self.assert_kept(14, range(1, 13, 2), hold, "")

    def test_calls_handed_over_to_peers_that_die(self):
        taken_over = itertools.cycle([[3], [4], [5], [3, 4, 5]])

        def cut_and_kill():
            self.set_paths([0], "reset")
            time.sleep(0.5)
            self.restart(next(taken_over), pause=0.01)
            time.sleep(0.5)
            self.set_paths([0], "open")
        for behaviour in ("", "away=1"):
            self.assert_kept(14, range(1, 13, 2), cut_and_kill, behaviour)

    def test_nodes_that_leave(self):
        nodes = itertools.cycle(ALL_NODES)

        def leave():
            node = next(nodes)
            self.process_of(node).terminate()
            self.assertEqual(self.process_of(node).wait(), 0)
            self.start_node(node)
        self.assert_kept(32, range(1, 30, 6), leave)

    def test_streams_resumed_as_heads_end(self):
        def end_heads():
            for _ in range(3):
                self.command("/restart?head=1")
        self.assert_kept(14, range(1, 13), end_heads, "")


for name in [n for n in dir(RetryBudgetStarts) if n.startswith("test_")]:
    for case in (RetryBudgetInTheFirstWindow, RetryBudgetOnEveryWay):
        setattr(case, name, None)


if __name__ == "__main__":
    unittest.main(verbosity=2)
