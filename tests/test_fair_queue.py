"""Order of the weighted fair queue, compared with the exact fluid share."""

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from chicorydoor.state import fair_queue


def fluid_served_by_customer(backlog, weight_by_customer, total):
    """Exact number of served items while every customer has some waiting."""
    weights = sum(weight_by_customer[c] for c in backlog)
    return {c: total * weight_by_customer[c] / weights for c in backlog}


class TestFairQueue:
    @seed(3)
    @settings(max_examples=100, deadline=None, database=None)
    @given(
        st.dictionaries(
            st.sampled_from("abcdef"),
            st.integers(1, 8),
            min_size=2,
            max_size=6,
        ),
        st.randoms(use_true_random=False),
    )
    def test_lags_the_fluid_share_by_at_most_one_item_per_customer(
        self, weights, rng
    ):
        queue = fair_queue.FairQueue()
        arrivals = [c for c in weights for _ in range(200)]
        rng.shuffle(arrivals)
        for customer in arrivals:
            queue.push(customer, weights[customer], customer)
        served = dict.fromkeys(weights, 0)
        for total in range(1, 101):
            served[queue.pop()] += 1
            exact_by_customer = fluid_served_by_customer(
                weights, weights, total
            )
            for customer, exact in exact_by_customer.items():
                assert served[customer] >= exact - len(weights)

    def test_small_customer_overtakes_a_long_queue(self):
        queue = fair_queue.FairQueue()
        for number in range(100):
            queue.push("big", 1.0, f"big-{number}")
        queue.pop()
        queue.push("small", 1.0, "small")
        assert "small" in (queue.pop(), queue.pop())

    def test_past_use_does_not_count_after_the_queue_was_empty(self):
        queue = fair_queue.FairQueue()
        for number in range(50):
            queue.push("big", 1.0, f"big-{number}")
        while queue.pop():
            pass
        queue.push("big", 1.0, "big")
        for number in range(50):
            queue.push("small", 1.0, f"small-{number}")
        assert "big" in (queue.pop(), queue.pop())

    def test_removed_item_is_not_served(self):
        queue = fair_queue.FairQueue()
        ticket = queue.push("a", 1.0, "first")
        queue.push("a", 1.0, "second")
        queue.remove(ticket)
        assert len(queue) == 1
        assert queue.pop() == "second"
        assert queue.pop() is None
