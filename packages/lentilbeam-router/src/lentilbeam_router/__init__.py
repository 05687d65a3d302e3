"""The lentilbeam router daemon, `lentilbeamd`."""
