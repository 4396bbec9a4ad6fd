"""Requests with large answers: where their answers are sent from."""
