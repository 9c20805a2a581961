
# The bad day: everything at once, within a minute.
day(**base("bad", "48s", [("north", 6), ("south", 4), ("west", 4)], 240, [
    trouble("deploy", at = "4s", lasts = "16s", share = 0.2),
    trouble("streams_broken", at = "9s", share = 0.5),
    trouble("planner_killed", at = "12s", lasts = "3s"),
    trouble("slow_channel", at = "10s", lasts = "6s", factor = 0.5, delay = "30ms"),
    trouble("zone_cut", at = "17s", lasts = "5s", zone = "south"),
    trouble("lost_answers", at = "24s", lasts = "6s", share = 0.5, factor = 0.25),
    trouble("zone_lost", at = "27s", lasts = "6s", zone = "west"),
    trouble("streams_broken", at = "31s", share = 0.5),
    trouble("silent_server", at = "38s", lasts = "4s", share = 0.1),
]))
