"""Decisions of the load balancer, free of clocks, I/O and randomness."""
