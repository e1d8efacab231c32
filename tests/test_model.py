"""The model of the systems served, and the real choice of targets on it."""

import random

import pytest

from chicorydoor.cli import main
from chicorydoor.model import model_fleet
from chicorydoor.model import model_target
from chicorydoor.model import scenario


def _target(**traits):
    return model_target.ModelTarget(
        "t", "n", model_target.TargetTraits(spread=0.0, **traits)
    )


class TestModelTarget:
    def test_remembered_objects_are_faster(self):
        target, rng = _target(), random.Random(1)
        assert target.take("a", 1.0, 0.0, rng) == pytest.approx(1.0)
        assert target.take("a", 1.0, 2.0, rng) == pytest.approx(2.3)

    def test_forgets_the_least_recently_used(self):
        target, rng = _target(remembered=2), random.Random(1)
        for index, name in enumerate(("a", "b", "c")):
            target.take(name, 1.0, 10.0 * index, rng)
        assert target.take("a", 1.0, 40.0, rng) == pytest.approx(41.0)

    def test_queues_then_refuses(self):
        target, rng = _target(slots=1, queue=1), random.Random(1)
        assert target.take("a", 1.0, 0.0, rng) == pytest.approx(1.0)
        assert target.take("b", 1.0, 0.0, rng) == pytest.approx(2.0)
        assert target.take("c", 1.0, 0.0, rng) is None
        assert target.running(0.5) == 2
        assert target.running(1.5) == 1


class TestChoiceUnderLoad:
    """Pattern: few objects for each caller, targets that remember some."""

    @pytest.mark.parametrize("name", ["calm", "burst", "moved-callers"])
    def test_nearly_all_are_answered_in_time(self, name):
        tally = model_fleet.ModelFleet(
            scenario.SCENARIOS.get(name)(), seed=1
        ).run()
        assert tally.in_time >= 0.95 * tally.asked

    def test_customers_bound_to_a_full_region_do_not_slow_others(self):
        tally = model_fleet.ModelFleet(
            scenario.SCENARIOS.get("bound-customer")(), seed=1
        ).run()
        # Those that may go anywhere ask for 210 of 330 requests a second.
        assert tally.in_time >= 0.95 * tally.asked * 210 / 330

    def test_shedding_objects_serves_more_of_a_bound_customer(self):
        bound = scenario.SCENARIOS.get("bound-customer")()
        plain = model_fleet.ModelFleet(bound, seed=1, sheds=False).run()
        shed = model_fleet.ModelFleet(bound, seed=1).run()
        assert shed.in_time >= 1.1 * plain.in_time
        assert shed.late <= 0.5 * plain.late
        assert shed.refused <= plain.refused

    @pytest.mark.parametrize("name", ["calm", "burst", "moved-callers"])
    def test_nothing_is_shed_without_bound_customers(self, name):
        play = scenario.SCENARIOS.get(name)()
        shed = model_fleet.ModelFleet(play, seed=2).run()
        plain = model_fleet.ModelFleet(play, seed=2, sheds=False).run()
        assert shed == plain

    def test_a_run_repeats(self):
        first, second = (
            model_fleet.ModelFleet(scenario.calm(), seed=5).run()
            for _ in range(2)
        )
        assert first == second


class TestCommand:
    def test_table(self, capsys):
        assert main.main(["experiment", "calm", "--seeds", "1"]) == 0
        printed = capsys.readouterr().out
        assert "calm" in printed
        assert "own only" in printed
