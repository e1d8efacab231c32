"""What the processes decide together."""
