"""Router process of a platform host, which schedules requests on targets together with the other routers."""
