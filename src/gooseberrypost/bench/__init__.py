"""Benchmark of the routing policies in a discrete-event simulation."""
