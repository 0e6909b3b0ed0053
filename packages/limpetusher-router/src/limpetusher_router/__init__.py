"""Router process: a circuits application that runs the decision core."""

import sys


def import_circuits() -> None:
    """Import circuits without pkg_resources.

    circuits imports pkg_resources only to declare a namespace package, which is not used here. Skipping it
    saves 8 MB of resident memory. A None entry in `sys.modules` makes the import fail with an ImportError,
    which circuits handles.
    """
    if "circuits" in sys.modules or "pkg_resources" in sys.modules:
        return
    sys.modules["pkg_resources"] = None
    try:
        import circuits  # noqa: F401
    finally:
        del sys.modules["pkg_resources"]


import_circuits()
