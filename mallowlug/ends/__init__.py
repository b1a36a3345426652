"""Notifiers: each module reports final results of messages until the receiver confirms them."""
