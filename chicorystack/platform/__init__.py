"""Adapter between the gateway and the operators' platform.

It only translates settings, stored records and headers; the gateway decides.
"""
