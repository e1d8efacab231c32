"""Connections that targets forget while they rest."""

from chicorydoor.state import idle_caution


class TestIdleCaution:
    def test_no_limit_without_a_loss(self):
        caution = idle_caution.IdleCaution()
        assert caution.limit_s(5.0) == float("inf")
        assert caution.own_limit_s(5.0) is None

    def test_loss_limits_the_rest_for_a_while(self):
        caution = idle_caution.IdleCaution()
        caution.note_loss(0.4, 1.0)
        assert caution.limit_s(2.0) < 0.4
        assert caution.limit_s(60.0) == float("inf")

    def test_other_entries_learn_it(self):
        one, other = idle_caution.IdleCaution(), idle_caution.IdleCaution()
        one.note_loss(0.4, 1.0)
        other.hear(one.own_limit_s(1.1), 1.1)
        assert other.limit_s(1.2) == one.limit_s(1.2)

    def test_what_was_heard_is_not_told_again(self):
        one, other = idle_caution.IdleCaution(), idle_caution.IdleCaution()
        one.note_loss(0.4, 1.0)
        other.hear(one.own_limit_s(1.1), 1.1)
        assert other.own_limit_s(1.2) is None

    def test_shortest_rest_counts(self):
        caution = idle_caution.IdleCaution()
        caution.note_loss(0.2, 1.0)
        caution.note_loss(0.9, 1.5)
        assert caution.limit_s(2.0) <= 0.1
