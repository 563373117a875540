"""Tests of fulmarhold.routes."""
