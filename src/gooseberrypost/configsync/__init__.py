"""Distribution of the configuration to every process."""
