# A room is lost with its game workers and its dispatchers, and comes back cold; clients come to other rooms when the front has noticed.
scenario "site-loss" {
  about       = "A room of three is lost for 15 s with its game workers and its dispatchers, and comes back cold."
  length      = "60s"
  load        = 0.75
  dispatchers = 30
  rooms       = 3
  delay       = "500us"
  skew        = 0.4

  hosts "small-box" {
    count = 29
    lanes = 2
    speed = 0.8
  }

  hosts "wide-box" {
    count = 31
    lanes = 3
    speed = 0.6
  }

  class "plot-load" {
    part     = 0.62
    mean     = "700ms"
    sigma    = 0.8
    on_time  = "400ms"
    stretch  = 1.75
    patience = "8s"
    worth    = 5
  }

  class "harvest-sale" {
    part     = 0.38
    mean     = "3s"
    sigma    = 0.9
    on_time  = "2s"
    stretch  = 2
    patience = "25s"
    worth    = 10
    once     = true
  }

  clients {
    retries    = 2
    after      = "now"
    hint_sigma = 0.5
  }

  trouble "site" {
    at   = "15s"
    for  = "15s"
    room = 3
  }

  expect {
    service = 0.6
    toppled = 5
  }
}
