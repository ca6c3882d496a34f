# The season closes: while fresh jobs ask for more than the fleet can do, bonuses wait for their time and are due.
scenario "season-close" {
  about       = "The season closes: while fresh jobs ask for more than the fleet can do, bonuses wait for their time and are due."
  length      = "120s"
  load        = 1.0
  dispatchers = 3
  rooms       = 3
  delay       = "500us"
  skew        = 0.4

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
    burst      = 2
  }

  waiting {
    part  = 0.2
    delay = "40s"
    due   = "30s"
  }

  expect {
    service = 0.4
  }
}
