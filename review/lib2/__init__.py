"""Stand-ins and processes of the cases 6 to 10."""
