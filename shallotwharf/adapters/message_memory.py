"""Limits of the memory that messages take in a process."""

import abc
import typing

# A node has 200 MB on the smallest machines, of which it uses about 30 without
# calls. The limits together leave room for what the allocator wastes.
_RECEIVED_LIMIT_BYTES: typing.Final = 50_331_648
# One request of the largest size that operators allow, 64 MiB, and others.
SERVED_LIMIT_BYTES: typing.Final = 75_497_472


OnGiveWay: typing.TypeAlias = typing.Callable[[], None]


class Holder(abc.ABC):
    """Receiver of a response that can be told to drop it."""

    __slots__ = ()

    @abc.abstractmethod
    def drop_response(self) -> None:
        """Stop to receive the response and release its bytes."""


class ResponseMemory:
    """Bytes of the responses that are being received.

    Above the limit the largest response is dropped, because upstreams whose
    bytes never end must cost neither the process its memory nor others their
    responses: a response without end becomes the largest one.
    """

    __slots__ = ('held_bytes', '_sizes')

    def __init__(self) -> None:
        self.held_bytes = 0
        self._sizes: dict[Holder, int] = {}

    def resize(self, holder: Holder, size: int) -> None:
        """Set the bytes that a response holds; 0 releases them."""
        self.held_bytes += size - self._sizes.get(holder, 0)
        if size:
            self._sizes[holder] = size
        else:
            self._sizes.pop(holder, None)
        while self.held_bytes > _RECEIVED_LIMIT_BYTES:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            largest.drop_response()
            # Released even if the holder did not.
            self.held_bytes -= self._sizes.pop(largest, 0)


class RequestMemory:
    """Bytes of the requests that are served, and of responses to be written.

    A request that finds no room is refused before it is read to its end. An
    arriving request that holds more gives way to one that holds less: it may
    never end, and small requests must find room beside those that do not.
    """

    __slots__ = ('held_bytes', 'limit_bytes', '_arriving')

    def __init__(self) -> None:
        self.held_bytes = 0
        self.limit_bytes = SERVED_LIMIT_BYTES
        self._arriving: dict[Hold, None] = {}

    def has_room(self, added: int) -> bool:
        """Return whether a request may hold another `added` bytes."""
        return self.held_bytes + added <= self.limit_bytes

    def is_short(self) -> bool:
        """Return whether more than half of the memory is held."""
        return self.held_bytes * 2 > self.limit_bytes

    def make_room(self, added: int, size: int) -> bool:
        """Return whether there is room, after larger requests gave way.

        Args:
            added: bytes to be held in addition.
            size: bytes that the request would hold then.
        """
        while not self.has_room(added):
            largest = max(self._arriving, key=_read_size, default=None)
            if largest is None or largest.size <= size:
                return False
            self._arriving.pop(largest)
            largest.give_way()
        return True

    def hold(self, amount: int) -> None:
        """Add to the bytes held; a negative amount releases them."""
        self.held_bytes += amount

    def mark_arriving(self, arriving: 'Hold', *, is_arriving: bool) -> None:
        """Set whether a request may have to give way."""
        if is_arriving:
            self._arriving[arriving] = None
        else:
            self._arriving.pop(arriving, None)


class Hold:
    """Bytes of one request in the memory of all.

    Attributes:
        size: bytes held.
    """

    __slots__ = ('size', '_memory', '_on_give_way')

    def __init__(
        self, memory: RequestMemory, on_give_way: OnGiveWay | None = None
    ) -> None:
        """Hold nothing.

        Args:
            memory: limit of all requests.
            on_give_way: refuses the request while it arrives; None if it
                cannot be refused any more.
        """
        self.size = 0
        self._memory = memory
        self._on_give_way = on_give_way

    def resize(self, size: int) -> None:
        """Set the bytes held; 0 releases them."""
        if size == self.size:
            return
        self._memory.hold(size - self.size)
        if self._on_give_way is not None and not (size and self.size):
            self._memory.mark_arriving(self, is_arriving=bool(size))
        self.size = size

    def try_resize(self, size: int) -> bool:
        """Set the bytes held if there is room; return whether there is."""
        added = size - self.size
        if added > 0 and not self._memory.make_room(added, size):
            return False
        self.resize(size)
        return True

    def settle(self) -> None:
        """Keep the bytes: the request has arrived."""
        self._memory.mark_arriving(self, is_arriving=False)
        self._on_give_way = None

    def give_way(self) -> None:
        """Refuse the request and release its bytes."""
        refuse = self._on_give_way
        self.settle()
        if refuse is not None:
            refuse()
        self.resize(0)


def _read_size(arriving: Hold) -> int:
    return arriving.size
