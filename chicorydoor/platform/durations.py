"""Durations as the platform writes them: a number and its unit."""

import functools
import re

from chicorydoor import errors

_FORM = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
# A configuration repeats few durations in many routes.
_KEPT_TEXTS = 1000
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


def seconds(text: object) -> float:
    """Seconds of a text such as ``1500ms`` or ``2.5s``.

    Raises:
        ConfigurationError: If it has another form.
    """
    if not isinstance(text, str):
        raise errors.ConfigurationError(f"{text!r} is no duration")
    return _parse(text)


@functools.lru_cache(maxsize=_KEPT_TEXTS)
def _parse(text: str) -> float:
    match = _FORM.fullmatch(text)
    if match is None:
        raise errors.ConfigurationError(f"{text!r} is no duration")
    return float(match[1]) * _SECONDS_BY_UNIT[match[2]]
