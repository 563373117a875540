"""Tests of fulmarhold.settings."""
