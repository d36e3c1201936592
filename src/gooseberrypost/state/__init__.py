"""State machines without I/O, and the records that are stored.

Time and randomness are passed in as arguments.
"""
