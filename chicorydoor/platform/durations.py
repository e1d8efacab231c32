"""Durations as the platform writes them: a number and its unit."""

import re

from chicorydoor import errors

_FORM = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


def seconds(text: object) -> float:
    """Seconds of a text such as ``1500ms`` or ``2.5s``.

    Raises:
        ConfigurationError: If it has another form.
    """
    match = _FORM.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise errors.ConfigurationError(f"{text!r} is no duration")
    return float(match[1]) * _SECONDS_BY_UNIT[match[2]]
