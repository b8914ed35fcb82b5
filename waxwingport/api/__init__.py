"""HTTP interface for callers, trainers and operators."""
