"""What every layer stands on: clock, errors, events, outcomes, options.

Nothing comes in from other packages; types and small services go out to all.
"""
