"""Connections to upstreams and the requests sent over them."""
