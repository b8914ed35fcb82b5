"""Choice of a target for a request: pure decisions over a snapshot."""
