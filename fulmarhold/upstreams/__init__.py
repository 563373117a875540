"""Connections to upstreams, and the HTTP requests and responses that they carry."""
