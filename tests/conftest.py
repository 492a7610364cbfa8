"""Hypothesis settings for all tests; runs are deterministic."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    suppress_health_check=(HealthCheck.too_slow,),
)
settings.load_profile('ci')
