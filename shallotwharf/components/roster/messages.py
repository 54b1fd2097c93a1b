"""Messages and events of the roster."""

from shallotwharf.core import locations, messages, records


class Process(records.Record):
    """A control process.

    Attributes:
        name: name of the process.
        location: where it runs.
        votes: whether it is a voter of the log.
    """

    __slots__ = ('name', 'location', 'votes')

    def __init__(
        self, name: str, location: locations.Location, votes: bool
    ) -> None:
        self.name = name
        self.location = location
        self.votes = votes


@messages.register('roster.ask')
class AskRoster(messages.Message):
    """Query to a control process for its roster."""

    __slots__ = ()

    def __init__(self) -> None:
        """Create the message; the codec needs a constructor of its own."""


@messages.register('roster.roster')
class Roster(messages.Message):
    """All control processes.

    Attributes:
        index: index of the log entry it comes from; a higher one is newer.
        processes: voters and learners, ordered by name.
    """

    __slots__ = ('index', 'processes')

    def __init__(self, index: int, processes: tuple[Process, ...]) -> None:
        self.index = index
        self.processes = processes

    def list_voters(self) -> tuple[Process, ...]:
        """Return the voters of the log."""
        return tuple(known for known in self.processes if known.votes)

    def list_names(self) -> tuple[str, ...]:
        """Return the names of all processes."""
        return tuple(known.name for known in self.processes)

    def list_near(self, region: str) -> tuple[str, ...]:
        """Return the names of the processes in a region."""
        return tuple(
            known.name
            for known in self.processes
            if known.location.region == region
        )


@messages.register('roster.seeds_changed')
class SeedsChanged(messages.Message):
    """Event: the settings of the local process name other seeds.

    Attributes:
        seeds: the control processes that the settings name now.
    """

    __slots__ = ('seeds',)

    def __init__(self, seeds: tuple[Process, ...]) -> None:
        self.seeds = seeds

    def list_names(self) -> tuple[str, ...]:
        """Return the names of the seeds."""
        return tuple(seed.name for seed in self.seeds)


@messages.register('roster.control_changed')
class ControlChanged(messages.Message):
    """Event: the roster known to the local process has changed."""

    __slots__ = ('roster',)

    def __init__(self, roster: Roster) -> None:
        self.roster = roster
