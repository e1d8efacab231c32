"""Keeps an entry's tasks running when they end with an unexpected error.

An error in one task says nothing of the others: an entry that cannot renew its
registration still serves. The error is logged with its traceback and counted,
and the task starts again.
"""

import asyncio
from collections import abc
import logging
import typing

from chicorydoor.transport import metrics

# Pause before a failed task starts again, so that a lasting error costs little
# processor time and few log lines.
_RESTART_DELAY_S = 0.5

_LOG = logging.getLogger(__name__)


def record_error(part: str) -> None:
    """Log and count the exception that is being handled.

    Args:
        part (str): Part of the entry that it occurred in.
    """
    metrics.UNEXPECTED_ERRORS.labels(part).inc()
    _LOG.exception("unexpected error", extra={"part": part})


def run_step(part: str, step: abc.Callable[[], typing.Any]) -> None:
    """Run one step of a periodic task; an error does not end the task.

    Args:
        part (str): Name of the step.
        step (callable): The step.
    """
    try:
        step()
    except Exception:
        record_error(part)


async def run_supervised(
    part: str, run: abc.Callable[[], abc.Awaitable[None]]
) -> None:
    """Run a task until it is cancelled; start it again when it fails.

    Args:
        part (str): Name of the task.
        run (callable): Makes the coroutine of the task.
    """
    while True:
        try:
            await run()
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            # Not this task was cancelled, but something that it waited for.
            record_error(part)
        except Exception:
            record_error(part)
        else:
            _LOG.error("task ended", extra={"part": part})
        await asyncio.sleep(_RESTART_DELAY_S)
