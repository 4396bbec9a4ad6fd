"""Validated models of everything that enters or leaves a process."""
