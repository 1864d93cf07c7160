"""Membership of the fleet and the configuration that operators give it.

Takes in configurations and member records; provides views of the members,
placements of model versions and configuration changes.
"""
