"""Explanations of where a request would go now, and why."""
