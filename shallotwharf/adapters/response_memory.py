"""Limit of the memory that responses take while they are received."""

import typing

# A node has 200 MB, of which it uses about 30 without calls.
_LIMIT_BYTES: typing.Final = 67_108_864
# Beyond the limit only responses above this size are dropped: upstreams whose
# bytes never end must not cost the others their responses.
_SMALL_BYTES: typing.Final = 1_048_576


class ResponseMemory:
    """Bytes held by the responses of one process that are not complete."""

    __slots__ = ('held_bytes',)

    def __init__(self) -> None:
        self.held_bytes = 0

    def hold(self, amount: int) -> None:
        """Add to the bytes held; a negative amount releases them."""
        self.held_bytes += amount

    def must_drop(self, size: int) -> bool:
        """Return whether a response of `size` bytes so far must be dropped."""
        return self.held_bytes > _LIMIT_BYTES and size > _SMALL_BYTES
