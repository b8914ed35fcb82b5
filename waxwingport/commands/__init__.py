"""What the commands of the command line do."""
