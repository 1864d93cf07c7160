"""Run the platform's programs under faults, and check their guarantees."""
