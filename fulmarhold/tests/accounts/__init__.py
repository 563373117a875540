"""Tests of fulmarhold.accounts."""
