"""Tests of fulmarhold.upstreams."""
