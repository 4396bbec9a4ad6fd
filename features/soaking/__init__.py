"""A randomized soak test of the real programs under injected faults."""
