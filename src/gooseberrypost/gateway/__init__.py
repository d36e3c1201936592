"""Gateway: forwards requests straight to backend servers without agents."""
