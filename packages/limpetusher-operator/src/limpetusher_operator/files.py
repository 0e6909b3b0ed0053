"""Reading and writing documents."""

import contextlib
import os
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

from limpetusher.configuration.document import ConfigurationModel, dump_document, parse_document
from limpetusher.errors import ConfigurationError
from limpetusher_operator.errors import OperatorError


def read_file(path: Path) -> bytes:
    """Return the contents of a file.

    Raises
    ------
    OperatorError
        If the file can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise OperatorError(f"{path}: can't be read ({error.strerror})") from None


def read_lines(path: Path) -> Iterator[str]:
    """Yield the lines of a text file; bytes that are not UTF-8 are replaced.

    Raises
    ------
    OperatorError
        If the file can't be read.
    """
    try:
        with path.open(errors="replace") as file:
            yield from file
    except OSError as error:
        raise OperatorError(f"{path}: can't be read ({error.strerror})") from None


def read_document(path: Path) -> ConfigurationModel:
    """Read and validate a configuration document.

    Raises
    ------
    OperatorError
        If the file can't be read.
    ConfigurationError
        With every problem found, each prefixed with the path of the file.
    """
    document = read_file(path)
    with problems_prefixed_by(path):
        return parse_document(document)


@contextlib.contextmanager
def problems_prefixed_by(path: Path) -> Iterator[None]:
    """Prefix the problems of a `ConfigurationError` with the path of the file that they are about."""
    try:
        yield
    except ConfigurationError as error:
        raise ConfigurationError([f"{path}: {problem}" for problem in error.problems]) from None


def write_output(path: Path | None, content: bytes) -> None:
    """Write to a file, or to standard output if `path` is None.

    A file is replaced atomically, so that a failure leaves its old content.

    Raises
    ------
    OperatorError
        If the file can't be written.
    """
    if path is None:
        sys.stdout.write(content.decode())
        return
    try:
        with tempfile.NamedTemporaryFile(dir=path.absolute().parent, delete=False) as file:
            file.write(content)
            os.fchmod(file.fileno(), 0o644)
        os.replace(file.name, path)
    except OSError as error:
        raise OperatorError(
            f"{path}: can't be written ({error.strerror}); expected a writable path"
        ) from None


def write_document(path: Path | None, model: ConfigurationModel) -> None:
    """Write a document to a file, or to standard output if `path` is None."""
    write_output(path, dump_document(model))
