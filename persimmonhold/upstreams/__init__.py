"""HTTP clients towards engines and plain services."""
