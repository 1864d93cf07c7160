"""The users' platform, translated into the product's own types.

The platform's settings file, store, items, headers, engines and origin come
in; typed settings, routes, endpoints, verdicts and chunks go out. Names of the
platform's pages stand in this package alone, each decoded once.
"""
