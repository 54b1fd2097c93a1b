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
# Far above any threshold and far below the largest float.
_MAX_VALUE: typing.Final = 1e100


class EProcess:
    """Evidence against a null hypothesis.

    The process is the sum over restarts k and alternatives j of
    `weight(k) / alternatives * product of the ratios of j since k`. Its
    expectation under the null hypothesis never exceeds 1, so that it passes
    `1 / alpha` with probability `alpha` at most, whenever it is looked at.
    The restarts forget old good evidence; a step costs constant work.
    Underflow to 0 loses evidence only and the next restart lifts it again.
    """

    __slots__ = ('total', '_parts', '_restarts')

    def __init__(self, alternatives: int) -> None:
        self.total: float = 0
        self._parts: list[float] = [0 for _ in range(alternatives)]
        self._restarts = 0

    def update(self, ratios: abc.Sequence[float], limit: float) -> None:
        """Restart, then multiply by the logarithmic likelihood ratios.

        A ratio counts at most `limit`; a lower factor keeps the expectation
        bounded.
        """
        self._restarts += 1
        begun = _weigh_restart(self._restarts) / len(self._parts)
        self._parts = [
            min((part + begun) * math.exp(min(ratio, limit)), _MAX_VALUE)
            for part, ratio in zip(self._parts, ratios, strict=True)
        ]
        self.total = math.fsum(self._parts)


def _weigh_restart(number: int) -> float:
    weight = _HALF / (number * (number + 1))
    if number <= _UNIFORM_RESTARTS:
        weight += _HALF / _UNIFORM_RESTARTS
    return weight
