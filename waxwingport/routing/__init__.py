"""Choice of a target for each request."""
