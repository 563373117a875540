"""The commented questionnaire that `fulmarhold init` writes."""

TEMPLATE = """\
# Questionnaire of one deployment. Every setting of the system follows from these answers;
# `fulmarhold explain SETTING` names the answer behind a setting.

deployment: example

# The data centres that hold entry instances and upstreams.
data_centres: [centre-a, centre-b, centre-c]

# One-way delays in milliseconds.
distances:
  between_data_centres_ms: 4
  from_callers_ms: 3

# How many entry instances run, and how many control instances (1, 3, 5 or 7).
entries: 6
control_instances: 3

services:
  - name: lookup
    # An index is divided into shards; each shard is held by servers / shards replicas.
    shards: 10
    servers: 30
    # Requests that one server runs at once, the connections it admits from all entries
    # together, and what a new connection costs.
    slots: 5
    connections: 40
    connection_cost_ms: 6
    # coverage: wait until the deadline for the last shard.
    # latency: return as soon as the least coverage is reached and the rest is late.
    priority: latency
    # urgent, normal or background: which service gives way under load.
    urgency: urgent
    deadline_ms: 150
    # The share of shards below which an answer is of no use.
    least_coverage: 0.9
    requests:
      - name: search
        idempotent: true
      - name: redeem
        # Runs at most once; callers must send an Idempotency-Key (a UUID version 7).
        idempotent: false
"""
