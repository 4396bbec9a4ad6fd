"""Bounds on what clients can make the daemon hold."""
