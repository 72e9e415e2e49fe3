"""The operator's configuration for a shape."""

from soak.machines import access, shape

HEALTH_PATH = "/health"


def make(of: shape.Shape, version: int, held: access.Access) -> dict:
    """Returns a configuration; versions differ in a route that nobody uses and in a goal."""
    services = [item.name for item in of.services]
    unused = shape.Kind(f"n{version}")
    return {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "2000ms",
        },
        "tenants": [_make_team(team.name, held) for team in of.teams],
        "listeners": [
            {
                "host": f"{name}.test",
                "rules": [
                    _make_rule(of, name, kind, version)
                    for kind in (*of.kinds, unused)
                    if kind.service in ("", name)
                ],
            }
            for name in services
        ],
        "clusters": [_make_service(item) for item in of.services],
    }


def _make_team(name: str, held: access.Access) -> dict:
    keys = [key for key, holder in held.holders.items() if holder == name]
    limit = held.limits[name]
    limits = {"rate_per_s": limit.rate_per_s, "burst": limit.burst} if limit.rate_per_s else {}
    return {"name": name, "api_keys": keys, **limits}


def _make_service(service: shape.Service) -> dict:
    return {
        "name": service.name,
        "health_path": HEALTH_PATH,
        "max_connections": service.connections,
        "protocol": "h1",
        "tls": False,
    }


def _make_rule(of: shape.Shape, service: str, kind: shape.Kind, version: int) -> dict:
    timeout = f"{kind.timeout_ms}ms"
    return {
        "name": f"{service}-{kind.name}",
        "kind": "safe" if kind.safe else "unsafe",
        "target_latency": f"{min(1500, kind.deadline_ms) - version % 7 * 10}ms",
        "priority": kind.priority,
        "public": of.is_public(kind),
        "match": {"path_prefix": f"/{kind.name}/"},
        "action": {"service": service, "timeout": timeout, "max_attempts": of.max_attempts},
    }
