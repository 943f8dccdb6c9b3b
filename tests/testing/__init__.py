<<<<<<< HEAD
"""Tests of the package ``testing``."""
=======
"""Tests of the stand-ins."""
>>>>>>> routing
