"""When this process began, as far as the program can tell. Quick to load."""

import time

BEGAN_S = time.monotonic()  # at the first import of this module: a little late, never early
