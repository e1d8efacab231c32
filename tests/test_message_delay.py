"""Delay of messages by the sender's and the receiver's own clocks."""

from chicorydoor.state import message_delay


class TestMessageDelay:
    def test_delay_is_relative_to_the_fastest_message(self):
        delay = message_delay.MessageDelay()
        # The clocks differ by 900 s; messages take 0.1 s and more.
        assert delay.record(100.0, 1000.1) == 0.0
        assert abs(delay.record(101.0, 1003.1) - 2.0) < 1e-9
        assert abs(delay.record(104.0, 1004.2) - 0.1) < 1e-9

    def test_faster_message_is_the_new_reference(self):
        delay = message_delay.MessageDelay()
        delay.record(100.0, 1001.0)
        assert delay.record(101.0, 1001.1) == 0.0
        assert abs(delay.record(102.0, 1003.0) - 0.9) < 1e-9

    def test_clock_that_stood_still_is_forgotten(self):
        delay = message_delay.MessageDelay()
        for second in range(30):
            delay.record(100.0 + second, 1000.0 + second)
        late = [
            delay.record(130.0 + second, 1035.0 + second)
            for second in range(25)
        ]
        assert abs(late[0] - 5.0) < 1e-9
        assert late[-1] == 0.0
