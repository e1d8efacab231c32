"""An event loop whose clock jumps to the next timer when nothing is ready."""

import asyncio
import heapq


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advances its clock to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self._virtual_now = 1000.0

    def time(self):
        return self._virtual_now

    def _run_once(self):
        # Cancelled timers must not advance the clock.
        while self._scheduled and self._scheduled[0]._cancelled:
            self._timer_cancelled_count -= 1
            timer = heapq.heappop(self._scheduled)
            timer._scheduled = False
        if not self._ready and self._scheduled:
            when = self._scheduled[0]._when
            self._virtual_now = max(self._virtual_now, when)
        super()._run_once()


def run(coroutine):
    """Run a coroutine on virtual time in seconds; returns its result.

    Tasks that are still pending at its end are cancelled.
    """
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(
                asyncio.gather(*pending, return_exceptions=True)
            )
        loop.close()
