"""Who waits, who is refused and where work goes, in virtual time."""
