"""What becomes of requests in progress when this daemon stops as planned."""
