"""Homes of objects: a small region with a third of the demand."""

import pytest

from chicorydoor.balancing import object_homes

_SLOTS_BY_REGION = {"small": 24, "middle": 100, "large": 120}


def _mean_count(region, is_overload):
    fraction = object_homes.home_fraction_by_region(_SLOTS_BY_REGION)[region]
    counts = [
        object_homes.home_count(fraction, step / 1000, is_overload=is_overload)
        for step in range(1000)
    ]
    return sum(counts) / len(counts)


class TestHomeCount:
    def test_objects_have_at_most_one_home_in_a_region_without_overload(self):
        assert _mean_count("small", False) == pytest.approx(0.384, abs=0.01)
        assert _mean_count("middle", False) == 1.0
        assert _mean_count("large", False) == 1.0

    # Guards against targets of a small region that get twice as many requests
    # as those of the others.
    def test_small_region_has_no_more_than_its_part_under_overload(self):
        share_of_slots = 24 / sum(_SLOTS_BY_REGION.values())
        homes = {each: _mean_count(each, True) for each in _SLOTS_BY_REGION}
        assert 0 < homes["small"] / sum(homes.values()) <= share_of_slots

    def test_large_region_has_second_homes_under_overload(self):
        assert 1.0 < _mean_count("middle", True) < _mean_count("large", True)
        assert _mean_count("large", True) <= 2.0

    def test_no_slots_are_no_homes(self):
        fractions = object_homes.home_fraction_by_region({"small": 0})
        assert (
            object_homes.home_count(fractions["small"], 0.0, is_overload=True)
            == 0
        )
