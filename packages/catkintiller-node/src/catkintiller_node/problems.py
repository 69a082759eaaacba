"""HTTP responses for refused and failed calls: RFC 9457 problem documents."""

import msgspec
from aiohttp import web
from catkintiller import data

from . import headers

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "https://catkintiller.example/problems/"

_STATUS_BY_REASON = {
    data.Reason.DEADLINE: 504,
    data.Reason.QUEUE_TIMEOUT: 503,
    data.Reason.CONNECTION_LOST: 502,
    data.Reason.ANSWER_TOO_LARGE: 502,
    data.Reason.BODY_TOO_LARGE: 413,
    data.Reason.KEY_MISSING: 400,
    data.Reason.KEY_INVALID: 400,
    data.Reason.KEY_REUSED: 422,
    data.Reason.KEY_OUTCOME_LOST: 409,
    data.Reason.KEY_ANSWER_DROPPED: 409,
}


def build_problem_response(refusal: data.Refusal) -> web.Response:
    """Builds the HTTP response for a refusal."""
    reason = refusal.reason.value
    status = _STATUS_BY_REASON.get(refusal.reason, 503)
    document = {
        "type": TYPE_PREFIX + reason,
        "title": reason.replace("-", " "),
        "status": status,
        "detail": refusal.detail,
        "ran": refusal.ran.value,
    }
    response = web.Response(
        status=status, body=msgspec.json.encode(document), content_type=CONTENT_TYPE
    )
    response.headers[headers.RAN] = refusal.ran.value
    response.headers[headers.REASON] = reason
    if refusal.retry_after_ms:
        # Retry-After is in whole seconds, so the time is rounded up.
        response.headers["Retry-After"] = str(-(-refusal.retry_after_ms // 1000))
    return response
