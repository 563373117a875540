"""Tests of fulmarhold.effects."""
