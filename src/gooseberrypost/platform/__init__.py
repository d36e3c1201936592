"""Adapter to the users' platform: names, formats and calls of its protocol.

Decisions are made in ``gateway`` and ``policy``.
"""
