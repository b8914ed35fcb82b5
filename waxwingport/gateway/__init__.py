"""Gateway nodes, which forward requests to targets by configured routes."""
