"""Set-up and clean-up around each scenario."""

from __future__ import annotations

import sys
from pathlib import Path

FEATURES = Path(__file__).resolve().parent
sys.path.insert(0, str(FEATURES))
sys.path.insert(0, str(FEATURES.parent / "platform"))


def before_scenario(context, scenario):
    """Create the list in which steps register what to end."""
    context.cleanups = []


def after_scenario(context, scenario):
    """End what the steps registered, in reverse order."""
    for clean_up in reversed(context.cleanups):
        clean_up()
