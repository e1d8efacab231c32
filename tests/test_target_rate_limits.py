"""Rate limits that targets name: what an entry learns and logs of them."""

import logging

import pytest

from chicorydoor.state import designated_entries
from chicorydoor.state import target_rate_limits

_TARGET = ("t", 1)


def _build_limits(instance="e", instances=("e",)):
    return target_rate_limits.TargetRateLimits(
        instance, lambda: instances, lambda region: ()
    )


def _record(limits, value, sent_at=0.0, now=None):
    limits.record_response(
        _TARGET, value, sent_at, sent_at if now is None else now
    )


class TestNamedLimit:
    def test_limit_is_known_until_a_response_names_none(self):
        limits = _build_limits()
        assert limits.rate_per_s(_TARGET) is None
        _record(limits, b"8.5", sent_at=1.0)
        assert limits.rate_per_s(_TARGET) == 8.5
        _record(limits, b"4", sent_at=2.0)
        assert limits.rate_per_s(_TARGET) == 4.0
        _record(limits, None, sent_at=3.0)
        assert limits.rate_per_s(_TARGET) is None

    def test_response_to_an_earlier_request_does_not_end_the_limit(self):
        limits = _build_limits()
        _record(limits, b"8", sent_at=1.0, now=2.0)
        _record(limits, None, sent_at=1.5, now=3.0)
        assert limits.rate_per_s(_TARGET) == 8.0

    def test_limit_ends_with_the_incarnation(self):
        limits = _build_limits()
        _record(limits, b"8")
        assert limits.rate_per_s(("t", 2)) is None
        limits.remove_obsolete({("t", 2)}, 1.0)
        assert limits.rate_per_s(_TARGET) is None

    @pytest.mark.parametrize("value", [b"8", b"8.4", b" 0.25 ", b"1000000"])
    def test_decimal_numbers_are_read(self, value):
        assert target_rate_limits.parse_rate_per_s(value) == float(value)

    @pytest.mark.parametrize(
        "value",
        [
            *(b"", b"-1", b"0", b"0.0", b"nan", b"inf", b"1e3", b"1e400"),
            *(b"8,4", b"0x8", b"1000001", b"9" * 400, b"\xff", b"1_0"),
        ],
    )
    def test_unreadable_limit_changes_nothing_and_is_logged_once(
        self, value, caplog
    ):
        limits = _build_limits()
        _record(limits, b"8")
        with caplog.at_level(logging.WARNING):
            _record(limits, value, sent_at=1.0)
            _record(limits, value, sent_at=2.0)
        assert limits.rate_per_s(_TARGET) == 8.0
        assert len(caplog.records) == 1


class TestShares:
    """Entries that know a target's limit, and send whenever they may."""

    def _senders(self, entry_count, rate):
        names = [f"e{i}" for i in range(entry_count)]
        all_limits = [_build_limits(name, names) for name in names]
        for limits in all_limits:
            _record(limits, rate)
        return all_limits

    def _send(self, all_limits, starts_at, ends_at, sent):
        for step in range(int(100 * starts_at), int(100 * ends_at)):
            now = step / 100
            for limits in all_limits:
                if limits.may_send(_TARGET, "n", now):
                    limits.record_sent(_TARGET, now)
                    sent.append(now)

    def _most_in_4_s(self, sent):
        return max(
            sum(start <= at <= start + 4.0 for at in sent) for start in sent
        )

    @pytest.mark.parametrize("entry_count", [1, 2, 11, 87])
    @pytest.mark.parametrize("rate", [b"0.01", b"0.5", b"3", b"8.4", b"20"])
    def test_sum_of_greedy_entries_stays_under_the_limit(
        self, entry_count, rate
    ):
        sent = []
        self._send(self._senders(entry_count, rate), 1.0, 21.0, sent)
        # One and a half times the limit and 5 requests in 4 s.
        assert self._most_in_4_s(sent) <= 1.5 * 4 * float(rate) + 5
        # The loop above sends up to a step of 10 ms late.
        assert len(sent) >= 0.8 * 20 * float(rate)

    # Guards against entries that leave and are replaced taking a second part
    # of the limit within the same few seconds.
    @pytest.mark.parametrize("entry_count", [4, 11, 87])
    @pytest.mark.parametrize("rate", [b"0.5", b"8.4"])
    def test_one_entry_is_replaced_at_a_time(self, entry_count, rate):
        names = [f"e{i}" for i in range(entry_count)]
        sent, all_limits = [], self._senders(entry_count, rate)
        limits_by_name = dict(zip(names, all_limits, strict=True))
        for turn in range(10):
            now = 1.0 + 2 * turn
            self._send(limits_by_name.values(), now, now + 2, sent)
            del limits_by_name[names.pop(0)]
            names.append(f"later{turn}")
            limits_by_name[names[-1]] = _build_limits(names[-1], names)
            _record(limits_by_name[names[-1]], rate, now + 2)
            for limits in limits_by_name.values():
                limits._get_instances = lambda: names
        assert self._most_in_4_s(sent) <= 1.5 * 4 * float(rate) + 5

    def test_entry_that_knows_no_others_yet_sends_nothing(self):
        limits = _build_limits("e", [])
        _record(limits, b"8")
        assert not limits.may_send(_TARGET, "n", 10.0)

    def test_changed_limit_holds_at_once(self):
        (limits,) = self._senders(1, b"0.1")
        limits.record_sent(_TARGET, 1.0)
        assert not limits.may_send(_TARGET, "n", 2.0)
        _record(limits, b"10", sent_at=1.0, now=1.1)
        assert limits.may_send(_TARGET, "n", 2.0)

    def test_half_of_the_senders_are_in_the_region_of_the_target(self):
        names = [f"{region}{i}" for region in "nmk" for i in range(29)]
        senders = designated_entries.designate("t", names, 10, names[:29])
        assert len(senders) == 10
        assert sum(name.startswith("n") for name in senders) >= 5


class TestReports:
    """What targets responded to one entry reaches the others."""

    def _pass_on(self, sender, receiver, now):
        receiver.apply_reports(sender.pop_reports(now), now)

    def test_limit_and_its_end_are_passed_on_once(self):
        sender, receiver = _build_limits(), _build_limits()
        _record(sender, b"8", sent_at=1.0)
        self._pass_on(sender, receiver, 1.5)
        assert receiver.rate_per_s(_TARGET) == 8.0
        assert sender.pop_reports(2.0) == []
        assert receiver.pop_reports(2.0) == []
        _record(sender, None, sent_at=3.0, now=3.2)
        self._pass_on(sender, receiver, 3.5)
        assert receiver.rate_per_s(_TARGET) is None

    def test_older_report_changes_nothing(self):
        sender, receiver = _build_limits(), _build_limits()
        _record(sender, b"8", sent_at=1.0)
        reports = sender.pop_reports(1.0)
        _record(receiver, b"4", sent_at=2.0)
        receiver.apply_reports(
            [target_rate_limits.LimitReport("t", 1, 8.0, 2000)], 3.0
        )
        assert receiver.rate_per_s(_TARGET) == 4.0
        _record(receiver, None, sent_at=4.0)
        receiver.apply_reports(
            [target_rate_limits.LimitReport("t", 1, 8.0, 3000)], 5.0
        )
        assert receiver.rate_per_s(_TARGET) is None
        assert len(reports) == 1

    def test_digests_repeat_recent_reports(self):
        limits = _build_limits()
        _record(limits, b"8", sent_at=1.0)
        for now in (2.0, 3.0):
            (report,) = limits.recent_reports(now)
            assert report.rate_per_s == 8.0
            assert report.age_ms == 1000 * (now - 1.0)
        assert limits.recent_reports(20.0) == []
