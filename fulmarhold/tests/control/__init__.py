"""Tests of fulmarhold.control."""
