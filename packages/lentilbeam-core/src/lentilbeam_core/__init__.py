"""Decisions of the lentilbeam router fleet, free of I/O and of clock reads."""
