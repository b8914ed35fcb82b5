"""Weight versions: which are published, and which engine loads which."""
