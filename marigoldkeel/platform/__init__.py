"""Translates between marigoldkeel and the platform that its users run it on.

Nothing outside this package knows the platform's names; nothing in it decides.
"""
