"""Tests that compare sessions and commands with golden files."""
