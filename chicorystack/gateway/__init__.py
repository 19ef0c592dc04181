"""Gateway routers: proxy callers' HTTP requests directly to targets."""
