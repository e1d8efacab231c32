"""``chicorydoor lookup``: look up entries as a caller does."""

import argparse

import httpx

from chicorydoor import errors
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser("lookup", help="look entries up")
    parser.add_argument("entry", metavar="IP:PORT", help="callers' port")
    parser.add_argument("--address", help="client address or block")
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    query = {"address": arguments.address} if arguments.address else {}
    try:
        response = httpx.get(
            f"http://{arguments.entry}/v1/lookup",
            params=query,
            trust_env=False,
        )
    except httpx.HTTPError as error:
        raise errors.UnreachableError(str(error)) from error
    answer = response.json()
    if not response.is_success:
        raise errors.AdministrationError(answer["detail"])
    if arguments.json:
        output.print_json(answer)
        return exit_codes.ExitCode.OK
    output.print_table(
        f"revision {answer['revision']}, for {answer['ttl_s']} s",
        ["instance", "domain", "address", "weight"],
        [
            (
                entry["instance"],
                entry["domain"],
                entry["address"],
                entry["weight"],
            )
            for entry in answer["entries"]
        ],
    )
    return exit_codes.ExitCode.OK
