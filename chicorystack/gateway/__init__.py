"""Routes callers' HTTP requests by host and path straight to targets."""
