"""Distribution of the configuration from ``config/head`` to all processes."""
