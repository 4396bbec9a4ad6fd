"""Test subjects of the features, a class for each."""
