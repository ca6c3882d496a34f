# Three rooms of four dispatchers and six game workers each. Rooms are lost in every way, and come back; the rules hold.
common {
  hosts "box" {
    count = 18
    lanes = 2
  }

  class "plot-load" {
    part     = 0.62
    mean     = "70ms"
    sigma    = 0.4
    on_time  = "200ms"
    stretch  = 1.75
    patience = "4s"
    worth    = 5
  }

  class "harvest-sale" {
    part     = 0.38
    mean     = "400ms"
    sigma    = 0.4
    on_time  = "500ms"
    stretch  = 2
    patience = "8s"
    worth    = 10
    once     = true
  }

  clients {
    retries    = 2
    after      = "now"
    hint_sigma = 0.3
  }
}

processes "room-lost" {
  about       = "A room is lost with its game workers and its dispatchers, and comes back cold."
  length      = "22s"
  load        = 0.55
  dispatchers = 12
  rooms       = 3
  sites       = true
  overload    = true

  trouble "site" {
    at   = "5s"
    for  = "8s"
    room = 3
  }

  expect {
    service = 0.6
  }
}

processes "room-cut-off" {
  about       = "A room has no way to the others, while its dispatchers, game workers and clients live."
  length      = "18s"
  load        = 0.5
  dispatchers = 12
  rooms       = 3
  sites       = true
  overload    = true

  trouble "site" {
    at    = "5s"
    for   = "8s"
    room  = 2
    loses = ["links"]
  }

  expect {
    service = 0.7
  }
}

processes "workers-lost-list-down" {
  about       = "The game workers of a room are lost, and nobody there hears from discovery."
  length      = "20s"
  load        = 0.5
  dispatchers = 12
  rooms       = 3
  sites       = true
  overload    = true

  trouble "site" {
    at    = "5s"
    for   = "8s"
    room  = 1
    loses = ["hosts", "discovery"]
  }

  expect {
    service = 0.6
  }
}

processes "two-rooms" {
  about       = "A second room is lost in the middle of the first one's return."
  length      = "26s"
  load        = 0.4
  dispatchers = 12
  rooms       = 3
  sites       = true
  overload    = true

  trouble "site" {
    at   = "4s"
    for  = "7s"
    room = 3
  }

  trouble "site" {
    at   = "12s"
    for  = "6s"
    room = 1
  }

  expect {
    service = 0.5
  }
}

processes "flapping" {
  about       = "A room is lost three times, a second or two apart, and each time its dispatchers start anew."
  length      = "22s"
  load        = 0.45
  dispatchers = 12
  rooms       = 3
  sites       = true
  overload    = true

  trouble "site" {
    at   = "4s"
    for  = "2s"
    room = 2
  }

  trouble "site" {
    at   = "8s"
    for  = "2s"
    room = 2
  }

  trouble "site" {
    at   = "12s"
    for  = "2s"
    room = 2
  }

  expect {
    service = 0.5
  }
}

processes "lost-in-a-storm" {
  about       = "A room is lost while all are asked for three times the load."
  length      = "22s"
  load        = 0.4
  dispatchers = 12
  rooms       = 3
  sites       = true
  overload    = true

  trouble "storm" {
    at    = "4s"
    for   = "8s"
    times = 3
  }

  trouble "site" {
    at   = "6s"
    for  = "7s"
    room = 3
  }

  expect {
    service = 0.3
  }
}
