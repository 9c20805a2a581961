# The fleet of the built-in days: three zones, uneven machines, three routes.
ZONES = ["north", "south", "west"]

ROUTES = [
    route("search", importance = 1, slo_time = "400ms", time_limit = "1500ms", repeats = "repeatable"),
    route("quote", importance = 2, slo_time = "500ms", time_limit = "2s", repeats = "repeatable"),
    route("order", importance = 3, slo_time = "500ms", time_limit = "2s", repeats = "mutating"),
]

CALLS = [
    calls("search", share = 0.5, work = "30ms"),
    calls("quote", share = 0.3, work = "50ms"),
    calls("order", share = 0.2, work = "40ms"),
]

RULES = {
    "drain_grace": "1500ms",
    "cold_from": 0.25,
    "cold_for": "4s",
    "overload": 4,
    "fall": "1500ms",
    "no_line": "2s",
}

def fleet_of(sizes):
    machines = []
    for zone, count in sizes:
        machines.append(servers(zone = zone, count = count - count // 2, cores = 2, speed = 1.2))
        machines.append(servers(zone = zone, count = count // 2, cores = 2, speed = 0.7))
    return machines

def base(name, lasts, sizes, calls_per_s, troubles, binds = True):
    return {
        "name": name,
        "lasts": lasts,
        "zones": ZONES,
        "servers": fleet_of(sizes),
        "routes": ROUTES,
        "calls": CALLS,
        "calls_per_s": calls_per_s,
        "rules": rules(removal_binds = binds, **RULES),
        "channel": channel(lines_per_s = 1500, most_waiting = 3000, head = 3, messages = 60, messages_over = "10s"),
        "report_every": "400ms",
        "troubles": troubles,
    }

def short(name, troubles, binds = True, later = 0, agreed = False, duties = False, sharing = False):
    one = base(name, "10s", [("north", 4), ("south", 3), ("west", 3)], 150, troubles, binds)
    one["proxies"] = 6
    if agreed:
        one["agreed"] = True
        one["duties"] = duties
        one["sharing"] = sharing
        one["planners"] = 3
    if later:
        one["servers"] += [servers(zone = zone, count = later, later = True) for zone in ZONES]
    return one
