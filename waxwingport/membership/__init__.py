"""Which nodes are there, and which of them does what."""
