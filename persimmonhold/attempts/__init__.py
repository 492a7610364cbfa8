"""The life of one request across its attempts."""
