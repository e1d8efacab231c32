"""Rendezvous hashing: the same order of candidates everywhere.

When a candidate comes or goes, only subjects that it is first for move.
"""

from collections import abc
import typing

import xxhash

CandidateT = typing.TypeVar("CandidateT")


def ranked(
    subject: bytes,
    candidates: abc.Iterable[CandidateT],
    name: abc.Callable[[CandidateT], str],
) -> list[CandidateT]:
    """Candidates in the order in which they stand for a subject.

    Args:
        subject (bytes): What they are ranked for.
        candidates (Iterable): All of them.
        name (callable): Name of a candidate.
    """

    def weight(candidate: CandidateT) -> int:
        named = name(candidate).encode()
        return xxhash.xxh3_64_intdigest(subject + b"\0" + named)

    return sorted(candidates, key=weight, reverse=True)
