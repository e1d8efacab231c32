"""Rendezvous hashing: the same ranking of candidates in every process.

When a candidate is added or removed, only the subjects that have it among
their chosen, highest ranked candidates are reassigned.
"""

from collections import abc
import typing

import xxhash

CandidateT = typing.TypeVar("CandidateT")


def rank(
    subject: bytes,
    candidates: abc.Iterable[CandidateT],
    get_name: abc.Callable[[CandidateT], str],
) -> list[CandidateT]:
    """Candidates ranked for a subject, highest hash first.

    Args:
        subject (bytes): What the candidates are ranked for.
        candidates (Iterable): All candidates.
        get_name (callable): Returns the unique name of a candidate.
    """

    def weight(candidate: CandidateT) -> int:
        encoded_name = get_name(candidate).encode()
        return xxhash.xxh3_64_intdigest(subject + b"\0" + encoded_name)

    return sorted(candidates, key=weight, reverse=True)
