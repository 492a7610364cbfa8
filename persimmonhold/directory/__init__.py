"""Which entry addresses a caller is given."""
