"""The event framework, imported without the parts that the daemons do not use."""

from __future__ import annotations

import sys

# The framework uses it only to declare a namespace, and works without it; its import
# takes a quarter of a daemon's start.
sys.modules.setdefault("pkg_resources", None)  # type: ignore[arg-type]

from circuits import BaseComponent, Component, handler  # noqa: E402
from circuits.core.pollers import BasePoller, EPoll  # noqa: E402

__all__ = ["BaseComponent", "BasePoller", "Component", "EPoll", "handler"]
