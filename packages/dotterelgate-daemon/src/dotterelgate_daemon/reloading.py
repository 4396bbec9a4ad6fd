"""Settings that changed while a daemon runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dotterelgate_border.checking import InvalidDocumentError, read_document

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from dotterelgate_border.settings import FrontSettings

__all__ = ["make_reload"]

logger = structlog.get_logger("reloading")


def make_reload(path: Path, settings: FrontSettings) -> Callable[[], None]:
    """Make the function that compares the file with the settings in force.

    Addresses and limits hold from start to end of a process, so a change is only
    checked and told; it is in force from the next start.

    :param path: file that the settings were read from
    """

    def reload() -> None:
        try:
            changed = read_document(path, type(settings))
        except InvalidDocumentError as error:
            logger.warning("reloading: the settings are not valid", problems=error.problems)
            return
        before, after = settings.model_dump(), changed.model_dump()
        keys = sorted(key for key in after if after[key] != before[key])
        logger.info("reloading: the settings were read again", changed=keys)

    return reload
