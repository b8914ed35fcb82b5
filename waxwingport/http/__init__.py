"""HTTP towards targets and the platform, and its problem answers."""
