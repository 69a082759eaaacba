"""One verdict for each run: property tests draw the same examples every time."""

from hypothesis import settings

settings.register_profile(
    "fixed", derandomize=True, database=None, deadline=None, max_examples=60
)
settings.load_profile("fixed")
