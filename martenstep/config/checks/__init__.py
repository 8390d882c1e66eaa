"""Checks of a gateway's settings, a module for each part of them."""
