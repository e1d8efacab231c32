"""Objects that targets are at work on for the first time.

Pattern: when many callers ask for an object that nobody has handled lately,
every request sent at once pays the full price. Those that come while the
first is under way wait for it where that brings their answer sooner.
"""

import asyncio

import msgspec

from chicorydoor.state import object_memory


class Lesson(msgspec.Struct):
    """A first request about an object, under way at a target.

    Args:
        ends_at (float): When it should end, on the own clock.
        done (Future): Done when it has ended, well or not.
    """

    ends_at: float
    done: asyncio.Future


class Lessons:
    """First requests of this entry that are under way."""

    def __init__(self) -> None:
        self._lesson_by_holding: dict[
            tuple[object_memory.ObjectId, object_memory.Holder], Lesson
        ] = {}

    def get(
        self, subject: object_memory.ObjectId, holder: object_memory.Holder
    ) -> Lesson | None:
        """The first request about an object at a target, if under way."""
        return self._lesson_by_holding.get((subject, holder))

    def begin(
        self,
        subject: object_memory.ObjectId,
        holder: object_memory.Holder,
        ends_at: float,
    ) -> Lesson | None:
        """Take note of a first request; None if there is one already."""
        holding = (subject, holder)
        if holding in self._lesson_by_holding:
            return None
        done = asyncio.get_running_loop().create_future()
        lesson = Lesson(ends_at, done)
        self._lesson_by_holding[holding] = lesson
        return lesson

    def end(
        self,
        subject: object_memory.ObjectId,
        holder: object_memory.Holder,
        lesson: Lesson,
    ) -> None:
        """The first request has ended."""
        self._lesson_by_holding.pop((subject, holder), None)
        if not lesson.done.done():
            lesson.done.set_result(None)
