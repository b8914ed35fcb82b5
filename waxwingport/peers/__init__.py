"""Transport of messages between the nodes."""
