"""State charts in YAML files.

``sismic`` reads and validates the files.  The charts are flat, so that a
transition is one dictionary lookup and objects only store their state.
"""
