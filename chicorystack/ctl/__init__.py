"""The chicory-ctl program for operators."""
