"""Agent daemon, the process beside one backend server."""
