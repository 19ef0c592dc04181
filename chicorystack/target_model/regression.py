"""Linear regression that follows a stream of measurements."""

import operator
from collections.abc import Sequence

from chicorystack import defaults


class OnlineRegression:
    """Learns the coefficients of a linear function of a few features.

    Older measurements count less and less. The prior counts like a fixed
    number of measurements, so that features that never vary keep theirs.

    Attributes:
        coefficients: Current estimates; none is negative.
    """

    def __init__(self, prior: Sequence[float], scales: Sequence[float]):
        """Starts with the prior.

        Args:
            prior: Coefficients before any measurement.
            scales: Typical value of each feature, which says how much its
                prior coefficient counts against measurements.
        """
        self._prior = tuple(prior)
        self._prior_weights = [
            defaults.MODEL_PRIOR_MEASUREMENTS * scale**2 for scale in scales
        ]
        size = len(self._prior)
        self._products = [[0.0] * size for _ in range(size)]
        self._results = [0.0] * size
        self.coefficients = list(self._prior)

    def value(self, features: Sequence[float]) -> float:
        """Returns the function's value."""
        return sum(map(operator.mul, self.coefficients, features))

    def learn(self, features: Sequence[float], measured: float) -> None:
        """Takes a measurement into account."""
        keep = defaults.MODEL_MEASUREMENT_KEEP
        for row, feature in enumerate(features):
            products = self._products[row]
            for column, other in enumerate(features):
                products[column] = products[column] * keep + feature * other
            self._results[row] = self._results[row] * keep + feature * measured
        self.coefficients = [max(0.0, value) for value in self._solution()]

    def _solution(self) -> list[float]:
        matrix = [[*row] for row in self._products]
        results = [*self._results]
        for index, weight in enumerate(self._prior_weights):
            matrix[index][index] += weight
            results[index] += weight * self._prior[index]
        return _solve(matrix, results)


def _solve(matrix: list[list[float]], results: list[float]) -> list[float]:
    """Solves linear equations with a positive definite matrix in place."""
    size = len(results)
    for pivot in range(size):
        for row in range(pivot + 1, size):
            factor = matrix[row][pivot] / matrix[pivot][pivot]
            results[row] -= factor * results[pivot]
            for column in range(pivot, size):
                matrix[row][column] -= factor * matrix[pivot][column]
    solution = [0.0] * size
    for row in reversed(range(size)):
        known = sum(
            matrix[row][column] * solution[column]
            for column in range(row + 1, size)
        )
        solution[row] = (results[row] - known) / matrix[row][row]
    return solution
