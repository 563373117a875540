"""Daemons must not import slow modules before they serve: time to restart is downtime."""

from __future__ import annotations

import subprocess
import sys

import pytest

# Importing each of these takes a tenth or more of the start-up time; they are imported only after
# callers and peers are served.
SLOW_MODULES = ("pydantic", "falcon", "yaml", "prometheus_client", "cyclopts", "gevent.pywsgi")


@pytest.mark.parametrize("role", ["entry", "control"])
def test_a_daemon_starts_without_importing_slow_modules(role):
    code = (
        f"import sys, fulmarhold.platform.__main__, fulmarhold.platform.{role};"
        f"print([name for name in {SLOW_MODULES!r} if name in sys.modules])"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    assert result.stdout.strip() == b"[]"
