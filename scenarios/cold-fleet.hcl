# The whole fleet has just started and is asked for more than it can do yet: nobody may push a host over.
scenario "cold-fleet" {
  about       = "The whole fleet has just started and is asked for more than it can do yet: nobody may push a host over."
  length      = "60s"
  load        = 0.9
  dispatchers = 3
  rooms       = 3
  delay       = "500us"

  hosts "small-box" {
    count = 5
    lanes = 2
    speed = 1.0
  }

  hosts "wide-box" {
    count = 5
    lanes = 3
    speed = 0.75
  }

  class "plot-load" {
    part     = 0.62
    mean     = "700ms"
    sigma    = 0.4
    on_time  = "400ms"
    stretch  = 1.75
    patience = "8s"
    worth    = 5
  }

  class "harvest-sale" {
    part     = 0.38
    mean     = "4s"
    sigma    = 0.4
    on_time  = "2s"
    stretch  = 2
    patience = "25s"
    worth    = 10
    once     = true
  }

  clients {
    retries    = 2
    after      = "now"
    hint_sigma = 0.3
  }

  world {
    start_cold = true
  }

  expect {
    service = 0.3
    toppled = 0
  }
}
