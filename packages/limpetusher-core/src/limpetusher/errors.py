"""Exception hierarchy. Each layer raises its own errors and translates those of the layer below."""


class LimpetusherError(Exception):
    """Base class of all errors raised by limpetusher."""


class ConfigurationError(LimpetusherError):
    """A configuration document or setting is invalid.

    Parameters
    ----------
    problems
        One line for each problem, naming the value and what is allowed.
    """

    def __init__(self, problems: list[str]):
        self.problems = problems
        super().__init__("; ".join(problems))


class CodecError(LimpetusherError):
    """A message from a peer is malformed, too large, unauthenticated or of an unknown version.

    Parameters
    ----------
    reason
        Short text from a fixed set, suitable as a metric label.
    """

    def __init__(self, reason: str):
        self.reason = reason
        super().__init__(reason)


class InvalidInputError(LimpetusherError):
    """The decision core received an input that is inconsistent with its state."""


class UnsendableMessageError(LimpetusherError):
    """A message to another router can't be encoded, or is larger than a datagram."""
