"""Many entries that each send a target few requests know it together."""

from chicorydoor.state import target_book
from tests.support import serving as make


def _book():
    book = target_book.TargetBook(make.REGION_BY_DOMAIN)
    book.put(make.record("t"), 0.0)
    return book, book.target_by_id["t"]


class TestReports:
    def test_load_that_another_entry_saw(self):
        mine, view = _book()
        theirs, seen = _book()
        seen.note_load(9, 1.0)
        mine.hear(theirs.take_reports(), 1.0)
        assert view.running(1.0) == 9.0

    def test_own_requests_are_not_counted_twice(self):
        mine, view = _book()
        theirs, seen = _book()
        view.own_running = 2
        seen.note_load(9, 1.0)
        mine.hear(theirs.take_reports(), 1.0)
        assert view.running(1.0) == 9.0

    def test_failing_target_is_known_from_single_requests_of_many(self):
        mine, view = _book()
        for _ in range(30):
            theirs, seen = _book()
            seen.note_answer(1.0, True, 1.0)
            mine.hear(theirs.take_reports(), 1.0)
        assert view.failure_share(1.0) > 0.7

    def test_slow_target_is_known_from_single_requests_of_many(self):
        mine, view = _book()
        for _ in range(30):
            theirs, seen = _book()
            seen.note_answer(4.0, False, 1.0)
            mine.hear(theirs.take_reports(), 1.0)
        assert view.slowness(1.0) > 3.0

    def test_each_is_told_once(self):
        theirs, seen = _book()
        seen.note_answer(1.0, True, 1.0)
        assert len(theirs.take_reports()) == 1
        assert theirs.take_reports() == []

    def test_what_is_heard_is_not_told_again(self):
        mine, _ = _book()
        theirs, seen = _book()
        seen.note_answer(1.0, True, 1.0)
        mine.hear(theirs.take_reports(), 1.0)
        assert mine.take_reports() == []

    def test_another_incarnation_is_another_target(self):
        mine, view = _book()
        theirs = target_book.TargetBook(make.REGION_BY_DOMAIN)
        theirs.put(make.record("t", started_ms=2), 0.0)
        theirs.target_by_id["t"].note_answer(1.0, True, 1.0)
        mine.hear(theirs.take_reports(), 1.0)
        assert view.failure_share(1.0) == 0.0
        assert not view.has_worked
