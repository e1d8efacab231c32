"""Requests that end the targets that run them, and those lost with them."""

import itertools
import logging
import random

from chicorydoor.state import request_crashes

_DEADLY = b"deadly"


def _build(instance="e", instances=("e",)):
    return request_crashes.RequestCrashes(instance, lambda: instances)


def _end_target(crashes, fingerprint, number, now):
    """The target of this number ends under a request."""
    incarnation = (f"t{number}", 1)
    crashes.record_lost(fingerprint, incarnation, now, now)
    crashes.record_ended(incarnation, now + 0.1)


class TestBlocking:
    def test_third_ended_target_blocks_the_request(self, caplog):
        crashes = _build()
        with caplog.at_level(logging.WARNING):
            for number in range(3):
                assert crashes.may_send(_DEADLY, number)
                _end_target(crashes, _DEADLY, number, number)
        assert not crashes.may_send(_DEADLY, 4.0)
        assert crashes.may_send(b"other", 4.0)
        assert crashes.blocked_count == 1
        assert len(caplog.records) == 1

    def test_end_may_be_known_before_the_loss(self):
        crashes = _build()
        for number in range(3):
            incarnation = (f"t{number}", 1)
            crashes.record_ended(incarnation, 1.0)
            crashes.record_lost(_DEADLY, incarnation, 1.1, 1.1)
        assert not crashes.may_send(_DEADLY, 2.0)

    # Guards against a request that ends its targets silently: its connections
    # stay open until its deadline, long after they refuse new ones.
    def test_response_missing_until_the_deadline_counts(self):
        crashes = _build()
        for number in range(3):
            incarnation = (f"t{number}", 1)
            crashes.record_ended(incarnation, 1.0)
            crashes.record_lost(_DEADLY, incarnation, 0.9, 6.0)
        assert not crashes.may_send(_DEADLY, 7.0)

    def test_requests_sent_long_after_the_end_of_a_target_do_not_count(self):
        crashes = _build()
        for number in range(3):
            incarnation = (f"t{number}", 1)
            crashes.record_ended(incarnation, 1.0)
            crashes.record_lost(_DEADLY, incarnation, 4.0, 6.0)
        assert crashes.may_send(_DEADLY, 7.0)

    # Guards against evidence of an entry that was cut off from the targets.
    def test_retracted_ends_of_targets_do_not_count(self, caplog):
        caplog.set_level(logging.INFO)
        crashes = _build()
        for number in range(3):
            _end_target(crashes, _DEADLY, number, 1.0)
        for number in range(3):
            crashes.retract_ended((f"t{number}", 1))
        assert [record.message for record in caplog.records] == [
            "request blocked",
            "request unblocked",
        ]
        assert crashes.may_send(_DEADLY, 2.0)
        assert not crashes.recent_reports(2.0)

    def test_one_target_that_fails_often_blocks_nothing(self):
        crashes = _build()
        for now in range(10):
            _end_target(crashes, _DEADLY, 1, float(now))
        assert crashes.may_send(_DEADLY, 20.0)

    def test_lost_connections_of_running_targets_block_nothing(self):
        crashes = _build()
        for number in range(10):
            crashes.record_lost(_DEADLY, (f"t{number}", 1), 1.0, 1.0)
        crashes.record_ended(("t1", 1), 10.0)
        assert crashes.may_send(_DEADLY, 10.0)

    # Guards against refusing a popular request because it was in flight at
    # targets that another request ended.
    def test_answered_request_is_not_blocked(self):
        crashes = _build()
        crashes.record_answered(b"popular", 0.0)
        for number in range(5):
            _end_target(crashes, b"popular", number, 1.0)
        assert crashes.may_send(b"popular", 2.0)

    def test_answer_clears_a_suspected_request(self):
        crashes = _build()
        for number in range(2):
            _end_target(crashes, b"unlucky", number, 1.0)
        crashes.record_answered(b"unlucky", 2.0)
        _end_target(crashes, b"unlucky", 3, 3.0)
        assert crashes.may_send(b"unlucky", 4.0)

    def test_one_entry_tries_a_blocked_request_again_after_minutes(self):
        names = [f"e{i}" for i in range(5)]
        fleet = [_build(name, names) for name in names]
        for crashes in fleet:
            for number in range(3):
                _end_target(crashes, _DEADLY, number, 1.0)
            assert not any(
                crashes.may_send(_DEADLY, now) for now in range(2, 600)
            )
        trials = [
            crashes
            for crashes in fleet
            for now in range(602, 1100)
            if crashes.may_send(_DEADLY, now)
        ]
        assert len(trials) == 1
        trials[0].record_answered(_DEADLY, 1101.0)
        for crashes in fleet:
            crashes.apply_reports(trials[0].recent_reports(1102.0), 1102.0)
            assert crashes.may_send(_DEADLY, 1103.0)

    def test_memory_is_bounded_and_expires(self):
        crashes = _build()
        for number in range(3):
            _end_target(crashes, _DEADLY, number, 0.0)
        for number in range(20_000):
            fingerprint = b"%d" % number
            _end_target(crashes, fingerprint, number, 1.0)
            crashes.record_lost(fingerprint, ("t", 1), 1.0, 1.0)
        assert len(crashes._suspect_by_fingerprint) == 4096
        assert len(crashes._lost_by_incarnation["t", 1]) == 256
        assert not crashes.may_send(_DEADLY, 2.0)
        assert len(crashes.recent_reports(2.0)) == 64
        crashes.remove_expired(1000.0)
        assert list(crashes._suspect_by_fingerprint) == [_DEADLY]
        crashes.remove_expired(10_000.0)
        assert not crashes._suspect_by_fingerprint
        assert not crashes._lost_by_incarnation
        assert not crashes._ended_at_by_incarnation


class TestFleet:
    """Entries that report to each other every 0.8 s, some of them lost."""

    def _run(self, entry_count, seed, repeats_every_s=0.3, duration_s=40.0):
        rng = random.Random(seed)
        names = [f"e{i}" for i in range(entry_count)]
        fleet = [_build(name, names) for name in names]
        numbers = itertools.count()
        ended_at = []
        for step in range(int(duration_s / 0.1)):
            now = step / 10
            if step % 8 == 0:
                for sender in fleet:
                    reports = sender.recent_reports(now)
                    for receiver in fleet:
                        if rng.random() > 0.3:
                            receiver.apply_reports(reports, now)
            entry = rng.choice(fleet)
            if rng.random() >= 0.1 / repeats_every_s:
                continue
            if entry.may_send(_DEADLY, now):
                number = next(numbers)
                ended_at.append(now)
                # A popular read and an order are lost with the target.
                order = b"order %d" % number
                for fingerprint in (_DEADLY, b"read %d" % (number % 3), order):
                    _end_target(entry, fingerprint, number, now)
                rng.choice(fleet).record_answered(
                    b"read %d" % (number % 3), now + 0.2
                )
        return fleet, ended_at

    # Guards against entries that each need three targets of their own to
    # recognise a request.
    def test_entries_stop_together_after_the_third_target(self):
        for entry_count, seed in itertools.product((2, 11, 87), range(5)):
            fleet, ended_at = self._run(entry_count, seed)
            assert len(ended_at) >= 3
            # The users' limit: three later than 4 s after the third.
            assert sum(at > ended_at[2] + 4.0 for at in ended_at) <= 3
            assert not any(each.may_send(_DEADLY, 41.0) for each in fleet)

    def test_requests_lost_with_the_targets_are_not_blocked(self):
        for seed in range(5):
            fleet, ended_at = self._run(11, seed)
            for crashes in fleet:
                assert crashes.blocked_count == 1
                for number in range(len(ended_at)):
                    assert crashes.may_send(b"order %d" % number, 41.0)
                    assert crashes.may_send(b"read %d" % (number % 3), 41.0)

    def test_entry_that_starts_later_learns_what_is_blocked(self):
        fleet, _ = self._run(2, seed=1)
        later = _build("later")
        later.apply_reports(fleet[0].recent_reports(41.0), 41.0)
        assert not later.may_send(_DEADLY, 41.0)
