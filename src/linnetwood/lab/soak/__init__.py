"""Run the programs of the users' platform under faults, and check promises."""
