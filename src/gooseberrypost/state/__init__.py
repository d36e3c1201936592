"""Pure state machines; time and randomness are arguments."""
