"""Rate limits that targets name: what an entry learns and logs of them."""

import logging

import pytest

from chicorydoor.state import target_rate_limits

_TARGET = ("t", 1)


def _record(limits, value, sent_at=0.0, now=None):
    limits.record_response(
        _TARGET, value, sent_at, sent_at if now is None else now
    )


class TestNamedLimit:
    def test_limit_is_known_until_a_response_names_none(self):
        limits = target_rate_limits.TargetRateLimits()
        assert limits.rate_per_s(_TARGET) is None
        _record(limits, b"8.5", sent_at=1.0)
        assert limits.rate_per_s(_TARGET) == 8.5
        _record(limits, b"4", sent_at=2.0)
        assert limits.rate_per_s(_TARGET) == 4.0
        _record(limits, None, sent_at=3.0)
        assert limits.rate_per_s(_TARGET) is None

    def test_response_to_an_earlier_request_does_not_end_the_limit(self):
        limits = target_rate_limits.TargetRateLimits()
        _record(limits, b"8", sent_at=1.0, now=2.0)
        _record(limits, None, sent_at=1.5, now=3.0)
        assert limits.rate_per_s(_TARGET) == 8.0

    def test_limit_ends_with_the_incarnation(self):
        limits = target_rate_limits.TargetRateLimits()
        _record(limits, b"8")
        assert limits.rate_per_s(("t", 2)) is None
        limits.remove_unknown({("t", 2)})
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
        limits = target_rate_limits.TargetRateLimits()
        _record(limits, b"8")
        with caplog.at_level(logging.WARNING):
            _record(limits, value, sent_at=1.0)
            _record(limits, value, sent_at=2.0)
        assert limits.rate_per_s(_TARGET) == 8.0
        assert len(caplog.records) == 1
