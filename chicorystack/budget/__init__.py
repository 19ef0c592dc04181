"""Prepaid budgets, in two ways.

`keeper` is the way of the own interface: one router keeps the books of a shard.
`grants` is the way on the platform, without a keeper.
"""
