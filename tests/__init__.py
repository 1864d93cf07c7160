"""Tests; drawn ones have no time limits, which a busy machine would break."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    'untimed', deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile('untimed')
