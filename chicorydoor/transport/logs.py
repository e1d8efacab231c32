"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

from pythonjsonlogger import json as json_logger

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(level: str, instance: str) -> None:
    """Set up logging of this process.

    Args:
        level (str): Level name.
        instance (str): Added to every line.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = json_logger.JsonFormatter(
        _FORMAT, static_fields={"instance": instance}
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for noisy in ("httpx", "httpcore", "uvicorn.access"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
