"""Client of an entry's administration API, and the options it needs."""

import argparse
import os
import pathlib
import typing

import httpx

from chicorydoor import errors

_REQUEST_TIMEOUT_S = 15.0
_ERROR_BY_STATUS: dict[int, type[errors.ChicorydoorError]] = {
    401: errors.AdministrationError,
    409: errors.ConflictError,
    422: errors.ConfigurationError,
    503: errors.StoreError,
}


def add_admin_options(parser: argparse.ArgumentParser) -> None:
    """Add options for the entry, the operator's token and JSON output."""
    parser.add_argument(
        "--admin",
        default=os.environ.get("CHICORYDOOR_ADMIN", "127.0.0.1:7301"),
        metavar="IP:PORT",
        help="administration port of any entry [CHICORYDOOR_ADMIN]",
    )
    parser.add_argument(
        "--token-file",
        type=pathlib.Path,
        metavar="FILE",
        help="file with the operator's token, else CHICORYDOOR_TOKEN holds it",
    )
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of tables"
    )


def _operator_token(arguments: argparse.Namespace) -> str:
    """Return the token from the given file or from the environment."""
    if arguments.token_file is not None:
        try:
            return arguments.token_file.read_text().strip()
        except OSError as error:
            raise errors.SettingsError(
                f"{arguments.token_file}: {error.strerror}"
            ) from error
    return os.environ.get("CHICORYDOOR_TOKEN", "")


class AdminClient:
    """Calls the administration API of one entry.

    Args:
        arguments (Namespace): With the options of ``add_admin_options``.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._http_client = httpx.Client(
            base_url=f"http://{arguments.admin}",
            headers={"authorization": f"Bearer {_operator_token(arguments)}"},
            timeout=_REQUEST_TIMEOUT_S,
            trust_env=False,
        )

    def get(self, path: str, **query: typing.Any) -> typing.Any:
        """Return a resource, decoded from JSON.

        Raises:
            ChicorydoorError: The entry is unreachable or refused the call.
        """
        return self._call("GET", path, params=query)

    def post(self, path: str, body: typing.Any) -> typing.Any:
        """Create or change a resource and return the decoded reply.

        Raises:
            ChicorydoorError: The entry is unreachable or refused the call.
        """
        return self._call("POST", path, json=body)

    def delete(self, path: str) -> typing.Any:
        """Remove a resource and return the decoded reply.

        Raises:
            ChicorydoorError: The entry is unreachable or refused the call.
        """
        return self._call("DELETE", path)

    def _call(
        self, method: str, path: str, **request_options: typing.Any
    ) -> dict:
        try:
            response = self._http_client.request(
                method, path, **request_options
            )
        except httpx.HTTPError as error:
            raise errors.UnreachableError(
                f"no answer from {self._http_client.base_url}: {error}"
            ) from error
        if response.is_success:
            return response.json()
        body = response.json()
        reason = body.get("error") or body.get("detail") or response.text
        error_type = _ERROR_BY_STATUS.get(
            response.status_code, errors.AdministrationError
        )
        raise error_type(reason)
