"""Pure decision logic; state, time and randomness are arguments."""
