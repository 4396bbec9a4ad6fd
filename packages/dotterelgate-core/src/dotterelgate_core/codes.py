"""Numbered result codes and the refusals that carry them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

__all__ = ["RESULT_CODES", "Outcome", "Refusal", "ResultCode", "limit_to_attempt"]


class Outcome(str, Enum):
    """Whether a request ran on a backend server, as far as the daemon can tell."""

    RAN = "ran"
    NOT_RUN = "not-run"
    ATTEMPT_NOT_RUN = "attempt-not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ResultCode:
    """One row of the table of result codes.

    :param number: stable number, sent in ``Dotterelgate-Code``
    :param name: short name used in logs and metrics
    :param status: HTTP status sent to the caller
    :param outcome: what the caller may conclude
    :param meaning: one sentence for operators
    """

    number: int
    name: str
    status: int
    outcome: Outcome
    meaning: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that a daemon gives itself instead of a backend server's.

    :param code: the result code
    :param reason: short sentence for the log and the caller
    :param outcome_override: weaker outcome where that of the code would claim too much
    :param retry_after: seconds after which the caller should retry, if it should
    """

    code: ResultCode
    reason: str
    outcome_override: Outcome | None = None
    retry_after: float | None = None

    @property
    def outcome(self) -> Outcome:
        """What the caller may conclude."""
        return self.outcome_override or self.code.outcome


def limit_to_attempt(refusal: Refusal) -> Refusal:
    """Limit "not run" to this attempt, where the outcome of earlier ones is unknown."""
    if refusal.outcome is not Outcome.NOT_RUN:
        return refusal
    return replace(refusal, outcome_override=Outcome.ATTEMPT_NOT_RUN)


_RAN = Outcome.RAN
_NOT_RUN = Outcome.NOT_RUN
_ATTEMPT = Outcome.ATTEMPT_NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

OK = ResultCode(0, "ok", 200, _RAN, "The backend server's own answer is passed on.")
MALFORMED_REQUEST = ResultCode(
    100, "malformed_request", 400, _NOT_RUN, "The request is not valid HTTP."
)
HEAD_TOO_LARGE = ResultCode(
    101, "head_too_large", 431, _NOT_RUN, "The request line and headers exceed the limit."
)
BODY_TOO_LARGE = ResultCode(
    102, "body_too_large", 413, _NOT_RUN, "A request with a key exceeds the body limit."
)
UNSUPPORTED = ResultCode(
    103, "unsupported", 501, _NOT_RUN, "Protocol upgrades and CONNECT are not offered."
)
INVALID_HEADER = ResultCode(
    104, "invalid_header", 400, _NOT_RUN, "A header that steers the system has a bad value."
)
NO_ROUTE = ResultCode(
    110, "no_route", 404, _NOT_RUN, "No route of the configuration matches the request."
)
NO_CONFIGURATION = ResultCode(
    111, "no_configuration", 503, _NOT_RUN, "This daemon has no configuration in force yet."
)
STALE = ResultCode(
    112, "stale", 503, _NOT_RUN, "The request may have waited unread while the daemon was paused."
)
UNAUTHENTICATED = ResultCode(
    113, "unauthenticated", 401, _NOT_RUN, "The credential is missing or belongs to nobody."
)
OUT_OF_SERVICE = ResultCode(
    114, "out_of_service", 503, _NOT_RUN, "The configuration of its route cannot be used."
)
CREDENTIAL_UNCHECKED = ResultCode(
    115,
    "credential_unchecked",
    503,
    _NOT_RUN,
    "Which credentials are valid is not known here for certain at the moment.",
)
CREDENTIAL_REVOKED = ResultCode(
    116,
    "credential_revoked",
    401,
    _NOT_RUN,
    "The credential was removed while the request waited or was retried.",
)
REQUEST_TIMEOUT = ResultCode(
    117, "request_timeout", 408, _NOT_RUN, "The request did not arrive fast enough."
)
DEADLINE_PASSED = ResultCode(
    200, "deadline_passed", 504, _NOT_RUN, "The time limit passed before dispatch."
)
OVERLOADED = ResultCode(
    201, "overloaded", 503, _NOT_RUN, "The wait for a slot would be longer than allowed."
)
STOPPING = ResultCode(
    202, "stopping", 503, _NOT_RUN, "This daemon is stopping and takes no new requests."
)
NO_SERVER = ResultCode(
    203, "no_server", 503, _NOT_RUN, "No backend server of the service can be used."
)
SHED = ResultCode(
    204, "shed", 503, _NOT_RUN, "Backend servers said that they did not run the request."
)
CONNECT_FAILED = ResultCode(
    205, "connect_failed", 503, _NOT_RUN, "No backend server accepted a connection."
)
ENDS_SERVERS = ResultCode(
    206, "ends_servers", 503, _NOT_RUN, "Backend servers ended while they had this request."
)
QUOTA_EXCEEDED = ResultCode(
    207, "quota_exceeded", 429, _NOT_RUN, "The quota of the caller's organisation is used up."
)
MEMORY_SHORT = ResultCode(
    208, "memory_short", 503, _NOT_RUN, "The daemon has no memory for requests that wait."
)
NO_HOLDER = ResultCode(
    300, "no_holder", 503, _ATTEMPT, "No daemon holds the key's range at the moment."
)
HOLDER_SILENT = ResultCode(
    301, "holder_silent", 503, _UNKNOWN, "The daemon that holds the key's range stopped answering."
)
KEY_CONFLICT = ResultCode(
    302, "key_conflict", 422, _ATTEMPT, "The key was used before with another request."
)
RAN_ALREADY = ResultCode(
    303, "ran_already", 409, _RAN, "The key's request ran; its answer is no longer kept."
)
KEY_HISTORY_UNKNOWN = ResultCode(
    304, "key_history_unknown", 409, _UNKNOWN, "An earlier holder may have run this key."
)
KEYS_FULL = ResultCode(305, "keys_full", 503, _NOT_RUN, "The table of idempotency keys is full.")
KEY_FROM_FUTURE = ResultCode(
    306, "key_from_future", 400, _NOT_RUN, "The key's own time is ahead of the daemon's clock."
)
KEY_TOO_OLD = ResultCode(
    307, "key_too_old", 409, _UNKNOWN, "The key is older than outcomes are remembered."
)
ANSWER_LOST = ResultCode(
    400, "answer_lost", 502, _UNKNOWN, "The connection ended after the request was sent."
)
DEADLINE_EXCEEDED = ResultCode(
    401, "deadline_exceeded", 504, _UNKNOWN, "The time limit passed after dispatch."
)
ANSWER_INVALID = ResultCode(
    402, "answer_invalid", 502, _UNKNOWN, "The backend server's answer is not valid HTTP."
)
PEER_LOST = ResultCode(
    403, "peer_lost", 502, _UNKNOWN, "The daemon that dispatched the request stopped answering."
)
CALLER_GONE = ResultCode(
    404, "caller_gone", 499, _UNKNOWN, "The caller closed its connection first."
)
REPEAT_FAILED = ResultCode(
    405, "repeat_failed", 502, _UNKNOWN, "An attempt may have run, and no other could be made."
)
UNPROVEN_REFUSAL = ResultCode(
    406, "unproven_refusal", 502, _UNKNOWN, "A server refused a write, which may have run."
)
CUT_BY_STOP = ResultCode(
    407, "cut_by_stop", 502, _UNKNOWN, "The daemon stopped before the answer was complete."
)

RESULT_CODES = tuple(value for value in list(globals().values()) if isinstance(value, ResultCode))
CODES_BY_NUMBER = {code.number: code for code in RESULT_CODES}
