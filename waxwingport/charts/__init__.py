"""State charts in YAML files, which the code interprets.

``sismic`` reads and validates the files.  A chart here is flat, so that a
transition is one lookup and a chart costs nothing for each object in it.
"""
