"""Gateway: routes requests directly to backend servers, without agents."""
