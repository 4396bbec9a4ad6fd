"""Check of the settings file while a daemon runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from dotterelgate_border.problems import InvalidDocumentError
from dotterelgate_border.settings import read_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from dotterelgate_border.settings import CommonSettings

__all__ = ["make_reload"]

logger = structlog.get_logger("reloading")


def make_reload(path: Path, settings: CommonSettings, given: str = "{}") -> Callable[[], None]:
    """Build the function that compares the file with the settings in force.

    Addresses and limits are fixed for the life of a process, so a change is only
    checked and logged; it is in force from the next start.

    :param path: file that the settings were read from
    :param given: settings that the environment gives, as JSON
    """

    def reload() -> None:
        try:
            changed = read_settings(path, type(settings), given)
        except InvalidDocumentError as error:
            logger.warning("reloading: the settings are not valid", problems=error.problems)
            return
        before, after = msgspec.structs.asdict(settings), msgspec.structs.asdict(changed)
        keys = sorted(key for key in after if after[key] != before[key])
        logger.info("reloading: the settings were read again", changed=keys)

    return reload
