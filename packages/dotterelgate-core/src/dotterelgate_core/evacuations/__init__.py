"""Availability zones that the operator takes out of use, and their return."""
