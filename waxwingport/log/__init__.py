"""The partitioned log that keeps what must outlive every node."""
