"""Collects the parts of a query from shards of another data centre through one entry there.

A query over shards of which many have no upstream in the entry's data centre would exchange a
request and a whole part with each of them. An entry beside those shards, the collector, merges
their parts: one request and few merged replies cross the link between the data centres, and the
connections to the upstreams are opened only there.
"""
