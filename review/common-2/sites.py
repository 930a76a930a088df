"""The config of a small deployment like cone-alert's: a streaming route to model
engines, a safe and an unsafe route to a plain service."""

from engines import MODEL

KEYS = {"tenant-a": ["key-a1", "key-a2"], "tenant-b": ["key-b1"]}


def route(name, kind, service, timeout_ms, aim_ms, attempts, resumable=False):
    return {"Name": name, "Host": "site.example", "PathPrefix": f"/{name}/",
            "RouteType": kind, "TimeoutMs": timeout_ms,
            "TargetLatencyMs": aim_ms, "Priority": 1, "Service": service,
            "MaxAttempts": attempts, "Public": False,
            "Sticky": kind == "streaming", "Resumable": resumable,
            "TargetGapMs": 300 if kind == "streaming" else 0}


def config(version, keys=None):
    tenants = [{"Name": name, "ApiKeys": held, "Priority": 1,
                "Unit": "tokens", "PlainTokens": 200, "RatePerS": 120767,
                "Burst": 120767} for name, held in (keys or KEYS).items()]
    return {
        "Version": version,
        "Routes": [
            route("brief", "streaming", "brief-writer", 12000, 800, 1),
            route("detour", "streaming", "brief-writer", 20000, 1000, 2, True),
            route("subscribe", "unsafe", "alert-api", 1500, 100, 1),
            route("lookup", "safe", "alert-api", 1500, 100, 2)],
        "Services": [
            {"Name": "brief-writer", "HealthPath": "/health",
             "MaxConnections": 240, "Protocol": "h1", "Tls": False,
             "Engine": {
                 "Slots": 32, "KvTokens": 117260, "KvTokenBytes": 327680,
                 "LinkMbps": 1100000.0, "Moves": True, "Backups": True,
                 "Stride": 6, "Cap": 12, "WeightsMb": 66700.0,
                 "MaxAdapters": 21, "LoadsPerS": 5.5,
                 "Models": [{"Name": MODEL, "WeightsMb": 65100.0,
                             "LoadTimeS": 2.5, "Adapters": 3000,
                             "AdapterMb": 12.0, "WarmS": 0.38,
                             "DiskLoadS": 1.0}]}},
            {"Name": "alert-api", "HealthPath": "/health",
             "MaxConnections": 110, "Protocol": "h1", "Tls": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": tenants}
