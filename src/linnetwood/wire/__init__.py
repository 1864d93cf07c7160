"""Connections and messages between processes, and HTTP clients.

The modules turn bytes into validated frames, structs and answers.
"""
