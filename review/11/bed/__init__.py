"""What the scripts of this review share: the platform and its processes."""
