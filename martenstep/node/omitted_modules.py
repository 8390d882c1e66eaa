"""Modules of the standard library that the event loop would load although this program has no use for them.

The platform has no TLS, and its gateways have as little as 32 MB: the libraries behind `ssl` take a fifth of what the
program holds at rest.  The event loop works without them where Python was built without them.
"""

from __future__ import annotations

import sys

OMITTED_MODULES = ("ssl",)


def omit_modules() -> None:
    """Make an import of each of the modules fail from now on; must come before the event loop is imported."""
    for name in OMITTED_MODULES:
        sys.modules[name] = None  # type: ignore[assignment]  # the documented way to make an import fail
