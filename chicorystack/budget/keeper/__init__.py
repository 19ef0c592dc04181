"""The keeper: one router per shard hands out tokens and settles their use."""
