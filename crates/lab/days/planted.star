
# A short day on which each planted break has its occasion: drained servers linger, cold ones come.
def planted():
    one = base("planted", "11s", [("north", 3), ("south", 3), ("west", 3)], 260, [
        trouble("deploy", at = "3s", lasts = "7s", share = 0.12, linger = "4s"),
    ])
    one["proxies"] = 6
    one["channel"] = channel(lines_per_s = 1500, most_waiting = 90, head = 3, messages = 60, messages_over = "10s")
    return one

day(**planted())
