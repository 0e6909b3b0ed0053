"""Protocol state with the lifetime of a connection between two routers."""
