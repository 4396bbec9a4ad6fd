"""Limits of backend servers that are cold after their start, and who is cold."""
