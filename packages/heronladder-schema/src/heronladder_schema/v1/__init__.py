"""Version 1 of the schema."""
