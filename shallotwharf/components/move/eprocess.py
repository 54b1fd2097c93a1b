"""Sequential test by a mixture of likelihood ratios with restarts.

Source: Ville's inequality for non-negative supermartingales; restarts with
weights as in the Shiryaev-Roberts procedure and e-detectors (Shin, Ramdas,
Rinaldo 2022).
"""

import math
import typing
from collections import abc

# The restart weights sum to 1: half by the first term, half by the second.
_HALF: typing.Final = 0.5
_UNIFORM_RESTARTS: typing.Final = 10_000


class EProcess:
    """Evidence against a null hypothesis as the logarithm of an e-process.

    The process is the sum over restarts k and alternatives j of
    `weight(k) / alternatives * product of the ratios of j since k`. Its
    expectation under the null hypothesis never exceeds 1, so that it passes
    `1 / alpha` with probability `alpha` at most, whenever it is looked at.
    The restarts forget old good evidence; a step costs constant work.
    """

    __slots__ = ('_logs', '_restarts')

    def __init__(self, alternatives: int) -> None:
        self._logs = [-math.inf for _ in range(alternatives)]
        self._restarts = 0

    def update(self, ratios: abc.Sequence[float], limit: float) -> None:
        """Restart, then multiply by the logarithmic likelihood ratios.

        A ratio counts at most `limit`; a lower factor keeps the expectation
        bounded.
        """
        self._restarts += 1
        begun = math.log(_weigh_restart(self._restarts) / len(self._logs))
        self._logs = [
            _add_logs(known, begun) + min(ratio, limit)
            for known, ratio in zip(self._logs, ratios, strict=True)
        ]

    def read(self) -> float:
        """Return the natural logarithm of the evidence."""
        highest = max(self._logs)
        if highest == -math.inf:
            return highest
        return highest + math.log(
            math.fsum(math.exp(known - highest) for known in self._logs),
        )


def _weigh_restart(number: int) -> float:
    weight = _HALF / (number * (number + 1))
    if number <= _UNIFORM_RESTARTS:
        weight += _HALF / _UNIFORM_RESTARTS
    return weight


def _add_logs(left: float, right: float) -> float:
    high, low = (left, right) if left > right else (right, left)
    return high + math.log1p(math.exp(low - high))
