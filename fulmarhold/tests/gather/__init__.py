"""Tests of fulmarhold.gather."""
