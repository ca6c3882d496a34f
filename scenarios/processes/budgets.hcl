# A tenant's quota over the whole fleet, divided among dispatchers that talk, with every fault between them. The sum is observed.
common {
  hosts "box" {
    count = 6
    lanes = 4
  }

  class "plot-load" {
    part     = 1
    mean     = "20ms"
    sigma    = 0.3
    on_time  = "400ms"
    stretch  = 2
    patience = "3s"
    worth    = 5
  }

  clients {
    retries    = 1
    after      = "advice"
    hint_sigma = 0.3
  }

  budgets {
    way    = "talk"
    floor  = 0.25
    probes = 300
  }

  tenant "a" {
    part  = 0.9
    quota = 150
  }

  # The quota, the burst, and one for each dispatcher; likewise of each host.
  bound "jobs" {
    window = "1s"
    most   = 306
  }

  bound "probes" {
    window = "1s"
    most   = 336
  }
}

processes "talk-uneven" {
  about       = "One of five dispatchers has 8 times the traffic of the others: talk brings the quota to where it is asked for."
  length      = "12s"
  load        = 0.1
  dispatchers = 5
  uneven      = 8

  tenant "a" {
    part  = 0.9
    quota = 100
  }

  bound "jobs" {
    window = "1s"
    most   = 205 # the quota, the burst, and one for each dispatcher
  }

  bound "probes" {
    window = "1s"
    most   = 335
  }

  expect {
    used = 0.85
  }
}

processes "static-uneven" {
  about       = "The same by equal parts, without talk: what is not asked for where it is owned is lost."
  length      = "10s"
  load        = 0.1
  dispatchers = 5
  uneven      = 8

  budgets {
    way    = "static"
    floor  = 0.25
    probes = 300
  }

  tenant "a" {
    part  = 0.9
    quota = 100
  }

  bound "jobs" {
    window = "1s"
    most   = 205
  }

  bound "probes" {
    window = "1s"
    most   = 335
  }

  expect {
    used = 0.3
  }
}

processes "deaths" {
  about       = "Dispatchers are killed and start again under their names, some within a moment, all of them once."
  length      = "20s"
  load        = 0.25
  dispatchers = 5
  uneven      = 4

  trouble "kill" {
    at = "4s"
    for = "50ms"
    dispatchers = 0.2
  }

  trouble "kill" {
    at = "6s"
    for = "2s"
    dispatchers = 0.4
  }

  trouble "kill" {
    at = "9s"
    for = "50ms"
    dispatchers = 0.6
  }

  trouble "kill" {
    at = "12s"
    for = "50ms"
  }

  expect {
    used = 0.2
  }
}

processes "pauses" {
  about       = "Dispatchers stand still for one and for eight seconds, across the end of what they own, while others are killed."
  length      = "20s"
  load        = 0.25
  dispatchers = 5
  uneven      = 4

  trouble "pause" {
    at = "4s"
    for = "1s"
    dispatchers = 0.4
  }

  trouble "pause" {
    at = "5s"
    for = "8s"
    dispatchers = 0.4
  }

  trouble "kill" {
    at = "7s"
    for = "1s"
    dispatchers = 0.2
  }

  trouble "pause" {
    at = "15s"
    for = "1200ms"
  }

  expect {
    used = 0.2
  }
}

processes "partitions" {
  about       = "Two halves, one alone, one way only, three islands; healed and cut again within a second."
  length      = "24s"
  load        = 0.25
  dispatchers = 6
  uneven      = 4

  trouble "islands" {
    at = "4s"
    for = "3s"
    times = 2
  }

  trouble "islands" {
    at = "7500ms"
    for = "2s"
    times = 3
  }

  trouble "silent" {
    at = "10s"
    for = "3s"
    path = "peer"
    dispatchers = 0.17
  }

  trouble "silent" {
    at = "13s"
    for = "3s"
    path = "peer"
    way = "forth"
    dispatchers = 0.3
  }

  trouble "silent" {
    at = "14s"
    for = "3s"
    path = "peer"
    way = "back"
    dispatchers = 0.3
  }

  trouble "refuse" {
    at = "18s"
    for = "1s"
    path = "peer"
    dispatchers = 0.5
  }

  expect {
    used = 0.3
  }
}

processes "lossy" {
  about       = "Of all that is said three in ten break their connections, and all of it is up to a second late."
  length      = "16s"
  load        = 0.25
  dispatchers = 5
  uneven      = 4

  trouble "lossy" {
    at = "3s"
    for = "10s"
    share = 0.3
  }

  trouble "delay" {
    at = "5s"
    for = "6s"
    path = "peer"
    delay = "1ms"
    jitter = "1s"
  }

  trouble "kill" {
    at = "7s"
    for = "500ms"
    dispatchers = 0.2
  }

  expect {
    used = 0.3
  }
}

processes "all-at-once" {
  about       = "Kills, pauses, partitions and losses that overlap, beside hosts that vanish and discovery that is down."
  length      = "24s"
  load        = 0.25
  dispatchers = 6
  uneven      = 4

  trouble "lossy" {
    at = "2s"
    for = "18s"
    share = 0.15
  }

  trouble "islands" {
    at = "4s"
    for = "4s"
    times = 2
  }

  trouble "kill" {
    at = "5s"
    for = "50ms"
    dispatchers = 0.3
  }

  trouble "pause" {
    at = "7s"
    for = "3s"
    dispatchers = 0.3
  }

  trouble "kill" {
    at = "9s"
    for = "2s"
    dispatchers = 0.5
  }

  trouble "vanish" {
    at = "8s"
    for = "4s"
    hosts = 0.2
  }

  trouble "discovery" {
    at = "6s"
    for = "5s"
  }

  trouble "silent" {
    at = "12s"
    for = "3s"
    path = "peer"
    way = "forth"
    dispatchers = 0.3
  }

  trouble "kill" {
    at = "16s"
    for = "50ms"
  }

  expect {
    used = 0.1
  }
}
