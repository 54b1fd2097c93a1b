"""Sizes of quorums."""


def compute_majority(size: int) -> int:
    """Return how many of `size` members are a majority.

    This is two of three, both of two, and one alone.
    """
    return size // 2 + 1


def compute_intersecting(size: int) -> int:
    """Return how many of `size` members meet each majority in one member."""
    return size - compute_majority(size) + 1
