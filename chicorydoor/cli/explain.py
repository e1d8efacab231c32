"""``chicorydoor explain``: where a request would go now, and why."""

import argparse
import typing

import httpx
import msgspec

from chicorydoor import errors
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output
from chicorydoor.coordination import explain_app
from chicorydoor.coordination import explanation

_TIMEOUT_S = 10.0
_QUERY_OPTIONS = ("route", "host", "path", "customer", "object", "deadline_ms")


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser(
        "explain", help="where a request would go now, without sending it"
    )
    parser.add_argument(
        "--entry", required=True, metavar="IP:PORT", help="metrics port"
    )
    request = parser.add_mutually_exclusive_group(required=True)
    request.add_argument("--route", metavar="ID")
    request.add_argument("--host", help="host of the URL, with --path")
    parser.add_argument("--path", help="path of the URL, with --host")
    parser.add_argument("--customer", metavar="ID")
    parser.add_argument("--object", metavar="KEY", help="affinity key")
    parser.add_argument("--deadline-ms", type=int, metavar="N")
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of tables"
    )
    parser.set_defaults(
        run=lambda arguments: _run(arguments, parser),
    )


def _run(
    arguments: argparse.Namespace, parser: argparse.ArgumentParser
) -> int:
    if bool(arguments.host) != bool(arguments.path):
        parser.error("--host and --path go together")
    answer = _fetch(arguments)
    if arguments.json:
        output.print_json(answer)
    else:
        _print_tables(answer)
    return exit_codes.ExitCode.OK


def _fetch(arguments: argparse.Namespace) -> explanation.Explanation:
    query = {
        name: value
        for name in _QUERY_OPTIONS
        if (value := getattr(arguments, name)) is not None
    }
    try:
        response = httpx.get(
            f"http://{arguments.entry}{explain_app.EXPLAIN_PATH}",
            params=query,
            timeout=_TIMEOUT_S,
            trust_env=False,
        )
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise errors.UnreachableError(
            f"no answer from {arguments.entry}: {error}"
        ) from error
    try:
        if response.is_success:
            return msgspec.json.decode(
                response.content, type=explanation.Explanation
            )
        refusal = msgspec.json.decode(response.content, type=dict[str, str])
        raise errors.AdministrationError(refusal["error"])
    except (msgspec.DecodeError, KeyError) as error:
        raise errors.UnreachableError(
            f"{arguments.entry} is not the metrics port of an entry"
        ) from error


def _print_tables(answer: explanation.Explanation) -> None:
    output.print_table(
        f"request at {answer.instance}", ["field", "value"], _summary(answer)
    )
    output.print_table(
        "candidates, the best first",
        [
            "target",
            "region",
            "as",
            "score ms",
            "latency ms",
            "wait ms",
            "requests",
            "slots",
            "load age ms",
            "cold",
            "failures",
            "limit/s",
        ],
        [
            (
                each.target_id,
                each.region,
                each.reason,
                _milliseconds(each.score_s),
                _milliseconds(each.expected_latency_s),
                _milliseconds(each.expected_wait_s),
                f"{each.estimated_requests:.1f}",
                each.slots,
                _milliseconds(each.load_age_s),
                "yes" if each.is_cold else "no",
                f"{each.failure_share:.0%}",
                "-"
                if each.rate_limit_per_s is None
                else f"{each.rate_limit_per_s:g}",
            )
            for each in answer.candidates
        ],
    )
    output.print_table(
        "excluded targets",
        ["target", "region", "domain", "reason"],
        [
            (each.target_id, each.region, each.domain, each.reason)
            for each in answer.excluded
        ],
    )
    output.print_line(_describe_result(answer.result))


def _summary(
    answer: explanation.Explanation,
) -> list[tuple[str, typing.Any]]:
    route = answer.route
    split = ", ".join(
        f"{service} {weight:g}"
        for service, weight in route.weight_by_service.items()
    )
    regions = answer.allowed_regions
    choice = answer.choice
    customer = answer.customer_id or (
        "none given; the route needs a key" if route.needs_key else "none"
    )
    return [
        ("configuration", answer.configuration),
        ("route", f"{route.route_id} ({route.host}{route.prefix})"),
        ("services", f"{split}; next request: {answer.service_id}"),
        ("customer", customer),
        ("rate", _describe_rate(answer.rate)),
        ("regions", "all" if regions is None else ", ".join(regions) or "no"),
        ("object", answer.object or "none"),
        ("deadline ms", _milliseconds(answer.deadline_s)),
        ("overload", "yes" if answer.decides_for_overload else "no"),
        (
            "choice",
            f"{choice.target_id} ({choice.reason})" if choice else "none",
        ),
    ]


def _describe_rate(rate: explanation.ExplainedRate) -> str:
    known = rate.known
    if known is None:
        return rate.result
    text = (
        f"{rate.result}: {rate.rate_per_s:g}/s, share {known.share:.3f}, "
        f"{known.tokens:.1f} tokens"
    )
    if known.wait_s > 0:
        text += f", next in {_milliseconds(known.wait_s)} ms"
    if known.asked:
        text += f", asks {', '.join(known.asked)}"
    return text


def _describe_result(result: explanation.ExplainedResult) -> str:
    if result.action == "send":
        return f"would be sent to {result.target_id} ({result.reason})"
    if result.action == "relay":
        return f"would be relayed to {result.peer}"
    text = f"would be refused with {result.status}, code {result.code}"
    text += f": {result.detail}"
    if result.retry_after_s > 0:
        text += f"; Retry-After {result.retry_after_s:.3f}"
    return text


def _milliseconds(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.0f}"
