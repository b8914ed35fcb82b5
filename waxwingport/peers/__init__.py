"""Messages between the nodes of the system."""
