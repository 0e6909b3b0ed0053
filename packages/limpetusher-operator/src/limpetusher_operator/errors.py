"""Errors of the operator tool."""

from limpetusher.errors import LimpetusherError


class OperatorError(LimpetusherError):
    """A command failed.

    Parameters
    ----------
    problems
        One line for each problem, naming the value and what is allowed.
    """

    def __init__(self, *problems: str):
        self.problems = list(problems)
        super().__init__("; ".join(problems))
