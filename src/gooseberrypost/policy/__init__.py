"""Pure decisions; state, time and randomness are arguments."""
