# The issue's table: the same 12 hosts of 2 lanes under 1, 4 and 16 dispatchers, clients that retry at once.
common {
  hosts "box" {
    count = 12
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

processes "load-1.0-by-1" {
  about       = "Load 1.0 through 1 dispatchers."
  length      = "15s"
  load        = 1.0
  dispatchers = 1
}

processes "load-1.0-by-4" {
  about       = "Load 1.0 through 4 dispatchers."
  length      = "15s"
  load        = 1.0
  dispatchers = 4
}

processes "load-1.0-by-16" {
  about       = "Load 1.0 through 16 dispatchers."
  length      = "15s"
  load        = 1.0
  dispatchers = 16
}

processes "load-2.0-by-1" {
  about       = "Load 2.0 through 1 dispatchers."
  length      = "15s"
  load        = 2.0
  dispatchers = 1
}

processes "load-2.0-by-4" {
  about       = "Load 2.0 through 4 dispatchers."
  length      = "15s"
  load        = 2.0
  dispatchers = 4
}

processes "load-2.0-by-16" {
  about       = "Load 2.0 through 16 dispatchers."
  length      = "15s"
  load        = 2.0
  dispatchers = 16
}

processes "load-1.0-by-1-on" {
  about       = "Load 1.0 through 1 dispatchers, with the settings for overload on."
  overload    = true
  length      = "15s"
  load        = 1.0
  dispatchers = 1
}

processes "load-1.0-by-4-on" {
  about       = "Load 1.0 through 4 dispatchers, with the settings for overload on."
  overload    = true
  length      = "15s"
  load        = 1.0
  dispatchers = 4
}

processes "load-1.0-by-16-on" {
  about       = "Load 1.0 through 16 dispatchers, with the settings for overload on."
  overload    = true
  length      = "15s"
  load        = 1.0
  dispatchers = 16
}

processes "load-2.0-by-1-on" {
  about       = "Load 2.0 through 1 dispatchers, with the settings for overload on."
  overload    = true
  length      = "15s"
  load        = 2.0
  dispatchers = 1
}

processes "load-2.0-by-4-on" {
  about       = "Load 2.0 through 4 dispatchers, with the settings for overload on."
  overload    = true
  length      = "15s"
  load        = 2.0
  dispatchers = 4
}

processes "load-2.0-by-16-on" {
  about       = "Load 2.0 through 16 dispatchers, with the settings for overload on."
  overload    = true
  length      = "15s"
  load        = 2.0
  dispatchers = 16
}
