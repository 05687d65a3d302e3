"""Behaviour tests, one feature for each promise."""
