"""Makes engines load the weight versions that trainers publish."""
