"""Organisations of callers: their credentials and what follows from them."""
