"""HTTP interface towards callers, trainers and operators."""
