"""The error for invalid documents, and reading of JSON files."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["InvalidDocumentError", "load_json"]


class InvalidDocumentError(Exception):
    """A document that cannot be accepted.

    :param problems: one line for each wrong value
    """

    def __init__(self, *, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


def load_json(path: Path) -> object:
    """Read a JSON file.

    :raises InvalidDocumentError: when it cannot be read or is not JSON
    """
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        remedy = "name a file that can be read"
        raise InvalidDocumentError(problems=[f"{path}: {error.strerror}; {remedy}"]) from error
    except ValueError as error:
        raise InvalidDocumentError(
            problems=[f"{path}: not valid JSON: {error}; correct the file"]
        ) from error
