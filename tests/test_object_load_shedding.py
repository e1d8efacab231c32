"""Start, share and end of load shedding by object.

While a target sheds load, it gets only the requests for a share of the
objects: those whose hash, from 0 to 1, is below the share.
"""

from chicorydoor.state import object_load_shedding

_LATENCY_OBJECTIVE_S = 0.4


class _Load:
    """Sends ten requests a second that meet long or short queues."""

    def __init__(self):
        self.shedding = object_load_shedding.ObjectLoadShedding()
        self.now = 0.0

    def send(self, seconds, expected_wait_s, object_hash=0.0):
        """Send requests for an object; return the admitted fraction."""
        admitted = 0
        count = int(seconds * 10)
        for _ in range(count):
            self.now += 0.1
            admitted += self.shedding.admits(
                "t",
                object_hash,
                expected_wait_s,
                _LATENCY_OBJECTIVE_S,
                self.now,
            )
        return admitted / count

    @property
    def is_shedding(self):
        return self.shedding.is_shedding("t")


class TestStart:
    def test_short_burst_is_admitted(self):
        load = _Load()
        assert load.send(1.5, expected_wait_s=1.0, object_hash=0.99) == 1.0
        load.send(3.0, expected_wait_s=0.0)
        assert not load.is_shedding

    def test_lasting_overload_starts_shedding(self):
        load = _Load()
        load.send(4.0, expected_wait_s=1.0)
        assert load.is_shedding
        assert load.send(1.0, expected_wait_s=0.0, object_hash=0.9) == 0.0
        assert load.send(1.0, expected_wait_s=0.0, object_hash=0.01) == 1.0

    def test_wait_within_the_objective_is_no_overload(self):
        load = _Load()
        load.send(20.0, expected_wait_s=0.1)
        assert not load.is_shedding


class TestShare:
    def test_same_objects_are_admitted_while_the_share_stays(self):
        load = _Load()
        load.send(4.0, expected_wait_s=1.0)
        first = load.shedding.admits(
            "t", 0.2, 0.0, _LATENCY_OBJECTIVE_S, load.now
        )
        second = load.shedding.admits(
            "t", 0.2, 0.0, _LATENCY_OBJECTIVE_S, load.now
        )
        assert first and second

    def test_share_shrinks_while_queues_stay_long(self):
        load = _Load()
        load.send(20.0, expected_wait_s=1.0)
        assert load.send(0.1, expected_wait_s=1.0, object_hash=0.15) == 0.0
        assert load.send(0.1, expected_wait_s=1.0, object_hash=0.0) == 1.0

    def test_some_objects_are_always_admitted(self):
        load = _Load()
        load.send(120.0, expected_wait_s=1.0)
        assert load.send(1.0, expected_wait_s=1.0, object_hash=0.04) == 1.0

    def test_share_grows_slowly_near_the_last_overloaded_share(self):
        load = _Load()
        load.send(4.0, expected_wait_s=1.0)
        load.send(9.0, expected_wait_s=0.0)
        load.send(2.0, expected_wait_s=1.0)
        before = load.shedding._shedding_by_target["t"].share
        load.send(8.0, expected_wait_s=0.0)
        after = load.shedding._shedding_by_target["t"].share
        assert before < after <= before + 0.08


class TestEnd:
    def test_all_objects_are_admitted_again(self):
        load = _Load()
        load.send(4.0, expected_wait_s=1.0)
        load.send(25.0, expected_wait_s=0.0)
        assert not load.is_shedding
        assert load.send(1.0, expected_wait_s=0.0, object_hash=0.99) == 1.0

    def test_unknown_targets_are_removed(self):
        load = _Load()
        load.send(4.0, expected_wait_s=1.0)
        load.shedding.remove_unknown(set())
        assert not load.is_shedding
