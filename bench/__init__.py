"""Benchmarks of lentilbeam."""
