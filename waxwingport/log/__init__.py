"""Access to the partitioned log, which stores what must survive a node."""
