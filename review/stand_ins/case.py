"""Running of a case: its exit status and the end of its processes."""

import asyncio
import pathlib
import signal
import sys
import typing
from collections import abc

from review.stand_ins import fleet as fleets

HELD: typing.Final = 0
BROKEN: typing.Final = 1
NOT_RUN: typing.Final = 2

Case: typing.TypeAlias = abc.Callable[
    [fleets.Record, bool], abc.Awaitable[bool]
]


def run(
    folder: str, case: Case, has_trouble: bool, limit_s: float = 100
) -> typing.NoReturn:
    """Run a case, which returns whether the rule held, and exit.

    The case gets `has_trouble`, whether to make the disruption.
    """
    # Lets the case end its processes if it is stopped from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = fleets.Record(str(pathlib.Path(folder).resolve()))
    record.write(f'disruption: {"yes" if has_trouble else "no"}')
    try:
        held = asyncio.run(_limit(case(record, has_trouble), limit_s))
    except Exception as error:
        # Any fault of the case itself must not look like a broken rule.
        record.write(f'could not run: {error!r}')
        sys.stdout.write(f'could not run: {error!r}\n')
        sys.exit(NOT_RUN)
    text = 'the rule held' if held else 'the rule was broken'
    record.write(text)
    sys.stdout.write(f'{text}\n')
    sys.exit(HELD if held else BROKEN)


async def _limit(running: abc.Awaitable[bool], limit_s: float) -> bool:
    async with asyncio.timeout(limit_s):
        return await running
