"""Forwards HTTP requests unchanged between callers and targets."""
