"""Tests of fulmarhold.standin."""
