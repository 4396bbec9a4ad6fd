"""Home regions, to which requests of a route or an organisation are restricted."""
