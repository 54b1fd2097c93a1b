"""Sizes of quorums."""


def compute_majority(size: int) -> int:
    """Return how many of `size` members are a majority.

    Examples: 2 of 3, 2 of 2, 1 of 1.
    """
    return size // 2 + 1


def compute_intersecting(size: int) -> int:
    """Return how many of `size` members intersect every majority of them."""
    return size - compute_majority(size) + 1
