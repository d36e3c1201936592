"""Clients of the platform: key-value service, VM list and weight store."""
