"""Subjects of the features, a class for each."""
