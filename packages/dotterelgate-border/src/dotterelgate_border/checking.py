"""Checks documents against models; errors name the file, the key and the remedy."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from dotterelgate_border.problems import InvalidDocumentError, load_json

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Model", "check_document", "read_document"]

AnyModel = TypeVar("AnyModel", bound=BaseModel)


class Model(BaseModel):
    """Base of all validated models: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def read_document(path: Path, model: type[AnyModel]) -> AnyModel:
    """Read a JSON file and check it.

    :raises InvalidDocumentError: with a line for each problem
    """
    return check_document(load_json(path), model, source=str(path))


def check_document(document: object, model: type[AnyModel], *, source: str) -> AnyModel:
    """Check a decoded JSON document.

    :param source: name used in the error lines
    :raises InvalidDocumentError: with a line for each problem
    """
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise InvalidDocumentError(
            problems=[_explain(source, each) for each in error.errors()]
        ) from error


def _explain(source: str, problem) -> str:  # type: ignore[no-untyped-def]
    key = ".".join(str(part) for part in problem["loc"]) or "the document"
    message = problem["msg"].removeprefix("Value error, ")
    if problem["type"] == "missing":
        return f"{source}: {key}: missing; add it"
    if problem["type"] == "extra_forbidden":
        return f"{source}: {key}: not a known key; remove it or correct its spelling"
    return f"{source}: {key}: {message}; got {problem['input']!r}"
