"""Stand-ins for the platform and the backend servers, a demo and measurements."""
