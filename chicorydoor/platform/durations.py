"""Parser of the platform's durations: a number and its unit."""

import functools
import re

from chicorydoor import errors

_DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
# The many routes of a configuration share few different durations.
_PARSE_CACHE_SIZE = 1000
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


def parse_duration_s(text: object) -> float:
    """Return the seconds of a text such as ``1500ms`` or ``2.5s``.

    Raises:
        ConfigurationError: If it has another format.
    """
    if not isinstance(text, str):
        raise errors.ConfigurationError(f"{text!r} is not a duration")
    return _parse(text)


@functools.lru_cache(maxsize=_PARSE_CACHE_SIZE)
def _parse(text: str) -> float:
    match = _DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise errors.ConfigurationError(f"{text!r} is not a duration")
    return float(match[1]) * _SECONDS_BY_UNIT[match[2]]
