"""Membership of the fleet and the configuration that operators give it.

Receives configurations and member records; provides views of the members,
placements of model versions and configuration changes.
"""
