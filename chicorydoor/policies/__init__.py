"""Registries by name, and the exchangeable policies registered in them."""
