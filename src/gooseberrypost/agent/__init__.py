"""Agent daemon: runs beside one backend server and decides what it executes.

Entries reach the server only through its agent.
"""
