"""Second attempts of requests whose first attempt is slow."""
