"""Tests of fulmarhold.wire."""
