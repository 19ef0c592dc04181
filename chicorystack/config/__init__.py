"""The configuration text: its model, its checks and its versions."""
