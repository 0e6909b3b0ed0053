"""Router process: a circuits application around the decision core."""

import sys


def import_circuits() -> None:
    """Import circuits without pkg_resources.

    circuits imports pkg_resources only to declare a namespace, which no package uses here; without it the
    process has 8 MB less resident memory. A None entry makes its import fail, which circuits tolerates.
    """
    if "circuits" in sys.modules or "pkg_resources" in sys.modules:
        return
    sys.modules["pkg_resources"] = None
    try:
        import circuits  # noqa: F401
    finally:
        del sys.modules["pkg_resources"]


import_circuits()
