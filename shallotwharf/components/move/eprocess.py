"""Sequential test by a mixture of likelihood ratios with restarts.

The error bound follows from Ville's inequality for non-negative
supermartingales. The weighted restarts are those of the Shiryaev-Roberts
procedure and of e-detectors (Shin, Ramdas, Rinaldo 2022).
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
    expectation under the null hypothesis never exceeds 1, so the probability
    that it ever exceeds `1 / alpha` is at most `alpha`, however often it is
    read. The restarts discard old evidence for the null hypothesis. An update
    takes constant time. Underflow to 0 only loses evidence, and the next
    restart raises the value again.

    Attributes:
        total: present value of the process.
    """

    __slots__ = ('total', '_parts', '_restarts')

    def __init__(self, alternatives: int) -> None:
        self.total: float = 0
        self._parts: list[float] = [0 for _ in range(alternatives)]
        self._restarts = 0

    def update(self, ratios: abc.Sequence[float], limit: float) -> None:
        """Add a restart, then apply one log-likelihood ratio per alternative.

        Ratios are capped at `limit`; a lower factor keeps the expectation
        bounded.
        """
        self._restarts += 1
        weight = _compute_restart_weight(self._restarts) / len(self._parts)
        self._parts = [
            min((part + weight) * math.exp(min(ratio, limit)), _MAX_VALUE)
            for part, ratio in zip(self._parts, ratios, strict=True)
        ]
        self.total = math.fsum(self._parts)


def _compute_restart_weight(number: int) -> float:
    weight = _HALF / (number * (number + 1))
    if number <= _UNIFORM_RESTARTS:
        weight += _HALF / _UNIFORM_RESTARTS
    return weight
