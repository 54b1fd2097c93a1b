"""What a plan needs of the aggregate that made it."""

import abc
import random
from collections import abc as abc_collections

from shallotwharf.components.call import index, sizes, targets
from shallotwharf.core import call_interfaces


class Context(abc.ABC):
    """What a plan needs of the aggregate that made it."""

    __slots__ = ()

    own_node: str
    directory: targets.Directory
    random: random.Random
    observer: call_interfaces.Observer
    sizes: sizes.AnswerSizes

    @abc.abstractmethod
    def find_route(
        self,
        method: str,
        path: str,
        host: str = '',
    ) -> index.RouteEntry | None:
        """Return the route of a request in the current version."""

    @abc.abstractmethod
    def refresh_own(self, now: int) -> None:
        """Note the spare slots of the upstream beside this node."""

    @abc.abstractmethod
    def has_version(self) -> bool:
        """Tell whether a version was applied."""

    @abc.abstractmethod
    def make_call_id(self) -> str:
        """Return a new id."""

    @abc.abstractmethod
    def report(
        self, event: str, fields: abc_collections.Mapping[str, object]
    ) -> None:
        """Log a decision on a call."""

    @abc.abstractmethod
    def count(self, name: str) -> None:
        """Add to a counter."""
