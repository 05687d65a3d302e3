"""The lentilbeam command line for operators."""
