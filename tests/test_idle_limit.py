"""Idle time limits after targets dropped idle connections."""

from chicorydoor.state import idle_limit


class TestIdleLimit:
    def test_no_limit_without_a_reset(self):
        limit = idle_limit.IdleLimit()
        assert limit.limit_s(5.0) == float("inf")
        assert limit.own_limit_s(5.0) is None

    def test_reset_limits_the_idle_time_until_expiry(self):
        limit = idle_limit.IdleLimit()
        limit.record_reset(0.4, 1.0)
        assert limit.limit_s(2.0) < 0.4
        assert limit.limit_s(60.0) == float("inf")

    def test_peers_apply_the_limit(self):
        own, peer = idle_limit.IdleLimit(), idle_limit.IdleLimit()
        own.record_reset(0.4, 1.0)
        peer.apply_limit(own.own_limit_s(1.1), 1.1)
        assert peer.limit_s(1.2) == own.limit_s(1.2)

    def test_limit_of_a_peer_is_not_published(self):
        own, peer = idle_limit.IdleLimit(), idle_limit.IdleLimit()
        own.record_reset(0.4, 1.0)
        peer.apply_limit(own.own_limit_s(1.1), 1.1)
        assert peer.own_limit_s(1.2) is None

    def test_limit_follows_the_reset_with_the_shortest_idle_time(self):
        limit = idle_limit.IdleLimit()
        limit.record_reset(0.2, 1.0)
        limit.record_reset(0.9, 1.5)
        assert limit.limit_s(2.0) <= 0.1
