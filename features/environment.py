"""Sets up and ends what a scenario needs."""

from __future__ import annotations

import sys
from pathlib import Path

FEATURES = Path(__file__).resolve().parent
sys.path.insert(0, str(FEATURES))
sys.path.insert(0, str(FEATURES.parent / "platform"))


def before_scenario(context, scenario):
    """Let steps register what has to be ended."""
    context.endings = []


def after_scenario(context, scenario):
    """End what the steps started, in reverse order."""
    for end in reversed(context.endings):
        end()
