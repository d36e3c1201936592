"""Claim owner service and its client."""
