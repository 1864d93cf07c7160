"""Stand-ins and clients of the second review; see REPORT-2.md."""
