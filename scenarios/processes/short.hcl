# The short form of the processes' days, which the tests play: only the rules are expected, which hold on a machine under load too.
common {
  hosts "small-box" {
    count = 6
    lanes = 2
  }
  hosts "wide-box" {
    count = 6
    lanes = 3
    speed = 0.75
  }

  class "plot-load" {
    part     = 0.62
    mean     = "70ms"
    sigma    = 0.4
    on_time  = "200ms"
    stretch  = 1.75
    patience = "3s"
    worth    = 5
  }

  class "harvest-sale" {
    part     = 0.38
    mean     = "400ms"
    sigma    = 0.4
    on_time  = "500ms"
    stretch  = 2
    patience = "5s"
    worth    = 10
    once     = true
  }

  clients {
    retries    = 2
    after      = "now"
    hint_sigma = 0.3
  }
}

processes "short-storm" {
  about       = "The short form of the storm days: kills, a pause and a dispatcher with a quarter of a core at a peak."
  length      = "7s"
  load        = 0.5
  dispatchers = 6
  rooms       = 1
  overload    = true

  # Of all dispatchers together, at each host: far above what a sound day asks, so that only a runaway breaks it.
  bound "probes" {
    window = "1s"
    most   = 200
  }

  trouble "storm" {
    at    = "1s"
    for   = "3s"
    times = 4
  }

  trouble "kill" {
    at          = "2s"
    for         = "1s"
    dispatchers = 0.25
  }

  trouble "pause" {
    at          = "2s"
    for         = "2s"
    dispatchers = 0.2
  }

  trouble "slow" {
    at          = "1s"
    for         = "4s"
    dispatchers = 0.2
    share       = 0.25
  }

}

processes "short-ways" {
  about       = "The short form of the days of broken ways: silence both ways and one way, cuts, resets, half-open, refused, slow."
  length      = "7s"
  load        = 0.5
  dispatchers = 6
  rooms       = 1

  trouble "silent" {
    at          = "1s"
    for         = "2s"
    path        = "host"
    dispatchers = 0.2
    hosts       = 0.5
  }

  trouble "silent" {
    at          = "2s"
    for         = "2s"
    path        = "host"
    way         = "back"
    dispatchers = 0.2
    hosts       = 0.3
  }

  trouble "cut" {
    at    = "2s"
    for   = "2s"
    path  = "host"
    way   = "back"
    hosts = 0.2
    bytes = 300
  }

  trouble "cut" {
    at    = "3s"
    for   = "2s"
    path  = "host"
    way   = "forth"
    hosts = 0.2
    bytes = 100
  }

  trouble "reset" {
    at    = "2500ms"
    path  = "host"
    hosts = 0.3
  }

  trouble "half_open" {
    at          = "3s"
    path        = "host"
    dispatchers = 0.2
    hosts       = 0.2
  }

  trouble "trickle" {
    at    = "3s"
    for   = "2s"
    path  = "host"
    hosts = 0.1
    rate  = 2000
  }

  trouble "refuse" {
    at    = "4s"
    for   = "1s"
    path  = "host"
    hosts = 0.2
  }

  trouble "delay" {
    at     = "1s"
    for    = "4s"
    path   = "discovery"
    delay  = "500ms"
    jitter = "500ms"
  }

}

processes "short-release" {
  about       = "The short form of a release: SIGTERM and SIGHUP to dispatchers, hosts that drain, vanish, fail and lie, discovery down."
  length      = "7s"
  load        = 0.5
  dispatchers = 6
  rooms       = 1

  clients {
    retries    = 2
    after      = "advice"
    hint_sigma = 0.3
    ignore     = 0.5
    early      = 0.1
  }

  trouble "reload" {
    at = "500ms"
  }

  trouble "term" {
    at          = "1s"
    for         = "200ms"
    dispatchers = 0.3
  }

  trouble "drain" {
    at    = "1s"
    for   = "2s"
    hosts = 0.2
  }

  trouble "vanish" {
    at    = "2s"
    for   = "2s"
    hosts = 0.2
  }

  trouble "errors" {
    at    = "2s"
    for   = "2s"
    hosts = 0.1
    share = 0.6
  }

  trouble "full" {
    at    = "3s"
    for   = "2s"
    hosts = 0.1
  }

  trouble "idle" {
    at    = "3s"
    for   = "2s"
    hosts = 0.1
  }

  trouble "discovery" {
    at  = "2s"
    for = "2s"
  }

}

processes "short-shares" {
  about       = "A tenant's quota divided by talk, while dispatchers are killed, stand still and are cut off from one another, on lossy ways."
  length      = "9s"
  load        = 0.6
  dispatchers = 5
  uneven      = 4

  budgets {
    way    = "talk"
    floor  = 0.25
    probes = 200
  }

  tenant "a" {
    part  = 0.9
    quota = 30
  }

  bound "jobs" {
    window = "1s"
    most   = 65 # the quota, the burst, and one for each dispatcher
  }

  bound "probes" {
    window = "1s"
    most   = 225
  }

  trouble "lossy" {
    at    = "2s"
    for   = "6s"
    share = 0.2
  }

  trouble "islands" {
    at    = "3s"
    for   = "2s"
    times = 2
  }

  trouble "kill" {
    at          = "4s"
    for         = "50ms"
    dispatchers = 0.4
  }

  trouble "pause" {
    at          = "5s"
    for         = "2s"
    dispatchers = 0.4
  }

  expect {
    service = 0.05
  }
}

processes "short-site" {
  about       = "A room is lost with its game workers and dispatchers, and another has no way to the others."
  length      = "9s"
  load        = 0.5
  dispatchers = 6
  rooms       = 3
  sites       = true
  overload    = true

  trouble "site" {
    at   = "2s"
    for  = "3s"
    room = 3
  }

  trouble "site" {
    at    = "4s"
    for   = "2s"
    room  = 2
    loses = ["links"]
  }

  expect {
    service = 0.05
  }
}

processes "short-leaves" {
  about       = "Half of the clients leave early, at a load at which jobs wait, and connections to hosts come up late: nothing goes on for nobody."
  length      = "5s"
  load        = 3
  dispatchers = 4
  rooms       = 1

  clients {
    retries    = 1
    after      = "now"
    hint_sigma = 0.3
    early      = 0.5
  }

  trouble "delay" {
    at          = "1s"
    for         = "3s"
    path        = "host"
    delay       = "100ms"
    jitter      = "100ms"
    dispatchers = 0.5
  }
}
