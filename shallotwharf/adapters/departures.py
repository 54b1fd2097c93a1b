"""Clients that have left while their connections are not read.

A transport whose reading is paused does not notice the end of its connection.
"""

import select
from collections import abc


def find_departed(descriptors: abc.Iterable[int]) -> set[int]:
    """Return the descriptors of connections whose peers have left.

    Args:
        descriptors: descriptors of connected sockets.
    """
    watched = select.poll()
    for descriptor in descriptors:
        watched.register(descriptor, select.POLLRDHUP)
    return {departed for departed, _ in watched.poll(0)}
