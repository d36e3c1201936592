"""Entry daemon, the front that callers reach."""
