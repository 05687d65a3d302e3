"""Checks that the build runs."""
