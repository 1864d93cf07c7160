"""Stand-ins, recorded histories and measurements; not part of the product."""
