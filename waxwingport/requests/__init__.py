"""What a node does with a caller's request, from admission to answer."""
