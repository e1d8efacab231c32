"""ASGI application that explains requests next to the metrics."""

import urllib.parse

import msgspec

from chicorydoor.coordination import explanation
from chicorydoor.protocol import headers as http_headers
from chicorydoor.transport import asgi

EXPLAIN_PATH = "/explain"
_JSON_HEADERS = [(b"content-type", b"application/json")]


class ExplainApp:
    """Serves explanations; passes all other paths on.

    Args:
        explainer (Explainer): Explains requests.
        other_app (callable): ASGI application for all other paths.
    """

    def __init__(
        self, explainer: explanation.Explainer, other_app: asgi.App
    ) -> None:
        self._explainer = explainer
        self._other_app = other_app

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle one request."""
        if scope["path"] != EXPLAIN_PATH:
            await self._other_app(scope, receive, send)
            return
        status = 200
        try:
            if scope["method"] != "GET":
                raise explanation.ExplanationError(405, "use GET")
            answer = self._explainer.explain(
                _parse_query(scope["query_string"].decode("latin-1"))
            )
            body = msgspec.json.encode(answer)
        except explanation.ExplanationError as error:
            status = error.status
            body = msgspec.json.encode({"error": str(error)})
        await asgi.send_response(send, status, _JSON_HEADERS, body)


def _parse_query(text: str) -> explanation.ExplainQuery:
    """Parse the query of a URL; raises ExplanationError if it is wrong."""
    values = dict(urllib.parse.parse_qsl(text))
    deadline = values.pop("deadline_ms", None)
    unknown = values.keys() - {"route", "host", "path", "customer", "object"}
    if unknown:
        raise explanation.ExplanationError(
            400, f"unknown parameters: {', '.join(sorted(unknown))}"
        )
    deadline_ms = None
    if deadline is not None:
        deadline_ms = http_headers.parse_whole_number(
            deadline.encode("latin-1", "replace")
        )
        if deadline_ms is None:
            raise explanation.ExplanationError(
                400, "deadline_ms is not a whole number"
            )
    return explanation.ExplainQuery(**values, deadline_ms=deadline_ms)
