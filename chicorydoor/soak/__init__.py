"""A randomized soak test of real entry processes under injected faults."""
