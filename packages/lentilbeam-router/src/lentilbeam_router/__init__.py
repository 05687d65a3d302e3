"""The lentilbeam router daemon."""
