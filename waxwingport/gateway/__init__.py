"""Passes requests on to targets by the routes in force."""
