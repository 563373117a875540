"""Tests of fulmarhold.web."""
