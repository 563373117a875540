"""Tests of fulmarhold.platform."""
