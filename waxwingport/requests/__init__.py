"""Processing of a caller's request, from admission to answer."""
