"""Model of the systems served, for experiments with decisions."""
