"""Tests of fulmarhold.membership."""
