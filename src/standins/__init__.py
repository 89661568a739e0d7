"""Small stand-ins for the platform, its endpoints and callers."""
