"""Virtual-clock driver that measures the policy."""
