"""The adapter between the users' platform and the product's own types.

It decodes the platform's settings file, store, headers, engines and origin to
settings, routes, endpoints, verdicts and chunks. Only this package uses the
platform's names, and decodes each in one place.
"""
