"""The programs: each puts the parts together and ends with an exit code."""
