"""Stand-ins for the clients, the servers and the platform of the cases."""
