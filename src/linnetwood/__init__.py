"""Bring a model, complete, to enough VMs before a burst while calls go on."""

__version__ = '0.1.0'
