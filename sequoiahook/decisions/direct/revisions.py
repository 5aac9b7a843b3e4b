"""Revisions of the platform's store, which are given out again in each of its eras."""

from typing import NamedTuple

__all__ = ["Revision"]


class Revision(NamedTuple):
    """A state of the store; ordered by the era first.

    A store that has returned from a copy begins a new era, in which it gives out again
    the numbers above that of the copy. Numbers of different eras cannot be compared.

    Attributes:
        era: Era of the store; 0 if it states none.
        number: Number of the last change in that state; grows within an era.
    """

    era: int
    number: int
