"""Predicts how soon a target would answer a call, from reports and own calls.

The classes here neither send nor wait. The gateway tells them what it sent and
what arrived; they answer with predictions.
"""
