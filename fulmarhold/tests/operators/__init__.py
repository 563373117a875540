"""Tests of fulmarhold.operators."""
