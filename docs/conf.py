"""Settings of the documentation generator."""

from __future__ import annotations

project = "dotterelgate"
extensions = ["myst_parser", "sphinx.ext.autodoc"]
exclude_patterns = ["_build"]
html_theme = "alabaster"
nitpicky = False
