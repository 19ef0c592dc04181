"""Streams that go on after a break: only at the version that began them."""
