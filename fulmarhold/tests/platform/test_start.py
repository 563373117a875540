"""What a daemon imports before it serves: a start again after a loss is an outage."""

from __future__ import annotations

import subprocess
import sys

import pytest

# Each of these takes a tenth or more of a start; they are loaded once callers and peers are served.
TOO_SLOW = ("pydantic", "falcon", "yaml", "prometheus_client", "cyclopts", "gevent.pywsgi")


@pytest.mark.parametrize("role", ["entry", "control"])
def test_a_daemon_serves_before_it_imports_what_takes_long(role):
    code = (
        f"import sys, fulmarhold.platform.__main__, fulmarhold.platform.{role};"
        f"print([name for name in {TOO_SLOW!r} if name in sys.modules])"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    assert result.stdout.strip() == b"[]"
