"""Ownership of idempotency keys: the owners of claim shards and a client."""
