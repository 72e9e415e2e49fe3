"""The operator's configuration for a shape."""

from soak.machines import access, shape

HEALTH_PATH = "/health"
# Versions differ in these; none is lower than what clients keep to.
HEADER_BYTES = (16_384, 65_536, 131_072)
BODY_BYTES = (2_097_152, 67_108_864)
IDLE_MS = (2000, 3000)
MORE_TIMEOUT_MS = (0, 100, 300)
MORE_CONNECTIONS = (0, 100)


def _choose(values: tuple[int, ...], version: int) -> int:
    return values[version // 3 % len(values)]


def make(of: shape.Shape, version: int, held: access.Access) -> dict:
    """Returns a configuration; versions differ in limits, timeouts and a route of no use."""
    services = [item.name for item in of.services]
    unused = shape.Kind(f"n{version}")
    return {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": _choose(HEADER_BYTES, version),
            "max_body_bytes": _choose(BODY_BYTES, version),
            "header_timeout": "3000ms",
            "idle_timeout": f"{_choose(IDLE_MS, version)}ms",
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
        "clusters": [_make_service(item, version) for item in of.services],
    }


def _make_team(name: str, held: access.Access) -> dict:
    keys = [key for key, holder in held.holders.items() if holder == name]
    limit = held.limits[name]
    limits = {"rate_per_s": limit.rate_per_s, "burst": limit.burst} if limit.rate_per_s else {}
    return {"name": name, "api_keys": keys, **limits}


def _make_service(service: shape.Service, version: int) -> dict:
    return {
        "name": service.name,
        "health_path": HEALTH_PATH,
        "max_connections": service.connections + _choose(MORE_CONNECTIONS, version),
        "protocol": "h1",
        "tls": False,
    }


def _make_rule(of: shape.Shape, service: str, kind: shape.Kind, version: int) -> dict:
    timeout = f"{kind.timeout_ms + _choose(MORE_TIMEOUT_MS, version)}ms"
    return {
        "name": f"{service}-{kind.name}",
        "kind": "safe" if kind.safe else "unsafe",
        "target_latency": f"{min(1500, kind.deadline_ms) - version % 7 * 10}ms",
        "priority": kind.priority,
        "public": of.is_public(kind),
        "match": {"path_prefix": f"/{kind.name}/"},
        "action": {"service": service, "timeout": timeout, "max_attempts": of.max_attempts},
    }
