"""When objects are shed, and when that ends."""

from chicorydoor.state import object_shedding

_OBJECTIVE_S = 0.4


class _Play:
    """Requests that find long or short queues, ten a second."""

    def __init__(self):
        self.shedding = object_shedding.ObjectShedding()
        self.now = 0.0

    def ask(self, seconds, waiting_s, draw=0.0):
        """Share of the requests that were admitted."""
        admitted = 0
        count = int(seconds * 10)
        for _ in range(count):
            self.now += 0.1
            admitted += self.shedding.admits(
                "t", draw, waiting_s, _OBJECTIVE_S, self.now
            )
        return admitted / count

    @property
    def is_shedding(self):
        return self.shedding.is_shedding("t")


class TestOnset:
    def test_short_burst_is_served(self):
        play = _Play()
        assert play.ask(1.5, waiting_s=1.0, draw=0.99) == 1.0
        play.ask(3.0, waiting_s=0.0)
        assert not play.is_shedding

    def test_lasting_overload_sheds(self):
        play = _Play()
        play.ask(4.0, waiting_s=1.0)
        assert play.is_shedding
        assert play.ask(1.0, waiting_s=0.0, draw=0.9) == 0.0
        assert play.ask(1.0, waiting_s=0.0, draw=0.01) == 1.0

    def test_waiting_within_the_objective_is_no_overload(self):
        play = _Play()
        play.ask(20.0, waiting_s=0.1)
        assert not play.is_shedding


class TestShare:
    def test_same_objects_are_served_while_the_share_stays(self):
        play = _Play()
        play.ask(4.0, waiting_s=1.0)
        first = play.shedding.admits("t", 0.2, 0.0, _OBJECTIVE_S, play.now)
        second = play.shedding.admits("t", 0.2, 0.0, _OBJECTIVE_S, play.now)
        assert first and second

    def test_shrinks_while_queues_stay_long(self):
        play = _Play()
        play.ask(20.0, waiting_s=1.0)
        assert play.ask(0.1, waiting_s=1.0, draw=0.15) == 0.0
        assert play.ask(0.1, waiting_s=1.0, draw=0.0) == 1.0

    def test_never_sheds_everything(self):
        play = _Play()
        play.ask(120.0, waiting_s=1.0)
        assert play.ask(1.0, waiting_s=1.0, draw=0.04) == 1.0

    def test_grows_slowly_near_the_limit(self):
        play = _Play()
        play.ask(4.0, waiting_s=1.0)
        play.ask(9.0, waiting_s=0.0)
        play.ask(2.0, waiting_s=1.0)
        before = play.shedding._load_by_target["t"].share
        play.ask(8.0, waiting_s=0.0)
        after = play.shedding._load_by_target["t"].share
        assert before < after <= before + 0.08


class TestEnd:
    def test_everything_is_served_again(self):
        play = _Play()
        play.ask(4.0, waiting_s=1.0)
        play.ask(25.0, waiting_s=0.0)
        assert not play.is_shedding
        assert play.ask(1.0, waiting_s=0.0, draw=0.99) == 1.0

    def test_gone_targets_are_forgotten(self):
        play = _Play()
        play.ask(4.0, waiting_s=1.0)
        play.shedding.keep_only(set())
        assert not play.is_shedding
