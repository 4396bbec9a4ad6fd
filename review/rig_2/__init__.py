"""Stand-ins of the review's second part: store, backends, clients and a proxy, for scripts."""
