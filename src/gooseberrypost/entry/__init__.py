"""Entry daemon: HTTP front end that routes callers' requests."""
