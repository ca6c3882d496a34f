# What breaks between many dispatchers: each day is a case that operators have asked to see. The rules hold on all of them.
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

processes "storm" {
  about       = "All clients retry at once at 3 times what the hosts can do, then 0.7 again."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  trouble "storm" {
    at    = "3s"
    for   = "5s"
    times = 4.3
  }

  expect {
    service = 0.1
  }
}

processes "quarter-killed" {
  about       = "A quarter of the dispatchers is killed at the peak and starts again under the same names."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  trouble "storm" {
    at    = "3s"
    for   = "4s"
    times = 2
  }

  trouble "kill" {
    at          = "4s"
    for         = "2s"
    dispatchers = 0.25
  }

  expect {
    service = 0.1
  }
}

processes "paused" {
  about       = "One dispatcher is paused for 5 s at the peak; what it believes is old when it wakes."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  trouble "storm" {
    at    = "2s"
    for   = "4s"
    times = 2
  }

  trouble "pause" {
    at          = "3s"
    for         = "5s"
    dispatchers = 0.125
  }

  expect {
    service = 0.1
  }
}

processes "quarter-core" {
  about       = "One dispatcher has a quarter of its core."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  trouble "slow" {
    at          = "2s"
    for         = "7s"
    dispatchers = 0.125
    share       = 0.25
  }

  expect {
    service = 0.3
  }
}

processes "half-silent" {
  about       = "Half of the hosts go silent and come back cold, and the others turn a fifth of them away meanwhile."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  trouble "vanish" {
    at    = "3s"
    for   = "4s"
    hosts = 0.5
  }

  trouble "full" {
    at    = "4s"
    for   = "2s"
    hosts = 0.2
  }

  expect {
    service = 0.1
  }
}

processes "discovery-down" {
  about       = "Discovery is down through a storm, and its list says nothing to a half of the dispatchers for longer."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  trouble "discovery" {
    at  = "2s"
    for = "6s"
  }

  trouble "silent" {
    at          = "2s"
    for         = "8s"
    path        = "discovery"
    dispatchers = 0.5
  }

  trouble "storm" {
    at    = "3s"
    for   = "3s"
    times = 2
  }

  trouble "crash" {
    at    = "4s"
    for   = "3s"
    hosts = 0.2
  }

  expect {
    service = 0.1
  }
}

processes "liars" {
  about       = "A host says full to all though it is idle, and two tell of free lanes whatever is true."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  trouble "full" {
    at    = "2s"
    for   = "7s"
    hosts = 0.1
  }

  trouble "idle" {
    at    = "2s"
    for   = "7s"
    hosts = 0.2
  }

  expect {
    service = 0.2
  }
}

processes "cut-off" {
  about       = "A dispatcher is cut off from a half of the hosts, both ways and then one way."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  trouble "silent" {
    at          = "2s"
    for         = "4s"
    path        = "host"
    dispatchers = 0.125
    hosts       = 0.5
  }

  trouble "silent" {
    at          = "7s"
    for         = "3s"
    path        = "host"
    way         = "back"
    dispatchers = 0.125
    hosts       = 0.5
  }

  expect {
    service = 0.3
  }
}

processes "uneven" {
  about       = "One dispatcher has 8 times the traffic of the others."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1
  uneven      = 8

  expect {
    service = 0.3
  }
}

processes "deaf-clients" {
  about       = "A half of the clients ignores the advice, the rest follows it; some give up early."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  clients {
    retries    = 2
    after      = "advice"
    hint_sigma = 0.3
    ignore     = 0.5
    early      = 0.1
  }

  trouble "storm" {
    at    = "3s"
    for   = "5s"
    times = 2.5
  }

  expect {
    service = 0.1
  }
}

processes "broken-ways" {
  about       = "Links to hosts are reset, half-open, cut in the middle of a message, slow, and refused, over one another."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  trouble "reset" {
    at    = "2s"
    path  = "host"
    hosts = 0.3
  }

  trouble "half_open" {
    at          = "3s"
    path        = "host"
    dispatchers = 0.25
    hosts       = 0.2
  }

  trouble "cut" {
    at    = "4s"
    for   = "3s"
    path  = "host"
    way   = "back"
    hosts = 0.2
    bytes = 300
  }

  trouble "cut" {
    at    = "5s"
    for   = "3s"
    path  = "host"
    way   = "forth"
    hosts = 0.2
    bytes = 100
  }

  trouble "delay" {
    at     = "4s"
    for    = "4s"
    path   = "host"
    hosts  = 0.3
    delay  = "60ms"
    jitter = "60ms"
  }

  trouble "trickle" {
    at    = "5s"
    for   = "3s"
    path  = "host"
    hosts = 0.1
    rate  = 2000
  }

  trouble "refuse" {
    at    = "8s"
    for   = "2s"
    path  = "host"
    hosts = 0.2
  }

  trouble "reset" {
    at          = "9s"
    path        = "client"
    dispatchers = 0.25
  }

  expect {
    service = 0.1
  }
}

processes "release" {
  about       = "Dispatchers are ended and started one after the other, are told of another discovery, and hosts drain and fail jobs."
  length      = "12s"
  load        = 0.7
  dispatchers = 8
  rooms       = 1

  trouble "reload" {
    at = "1s"
  }

  trouble "term" {
    at          = "2s"
    for         = "300ms"
    dispatchers = 0.25
  }

  trouble "term" {
    at          = "5s"
    for         = "300ms"
    dispatchers = 0.25
  }

  trouble "drain" {
    at    = "3s"
    for   = "3s"
    hosts = 0.2
  }

  trouble "errors" {
    at    = "6s"
    for   = "3s"
    hosts = 0.1
    share = 0.6
  }

  expect {
    service = 0.1
  }
}

processes "room-cut" {
  about       = "A room of dispatchers and clients is cut off from the hosts of the others, slow first and then silent."
  length      = "12s"
  load        = 0.7
  dispatchers = 9
  rooms       = 3

  trouble "delay" {
    at          = "2s"
    for         = "3s"
    path        = "host"
    dispatchers = 0.34
    hosts       = 0.6
    delay       = "800ms"
  }

  trouble "silent" {
    at          = "5s"
    for         = "4s"
    path        = "host"
    dispatchers = 0.34
    hosts       = 0.6
  }

  expect {
    service = 0.1
  }
}
