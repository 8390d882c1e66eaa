"""Endpoint discovery: the client of the endpoint feed, and the endpoint list that is cached across restarts."""
