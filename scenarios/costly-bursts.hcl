# For twenty seconds one sale in fifty costs fifteen times the usual, while a host drains and a list comes late.
scenario "costly-bursts" {
  about       = "For twenty seconds one sale in fifty costs fifteen times the usual, while a host drains and a list comes late."
  length      = "90s"
  load        = 0.7
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
    after      = "wait"
    hint_sigma = 0.3
  }

  trouble "heavy" {
    at = "20s"
    for = "20s"
    class = "harvest-sale"
    share = 0.02
    times = 15
  }

  trouble "drain" {
    at = "25s"
    for = "20s"
    part = 0.1
  }

  trouble "stale_list" {
    at = "40s"
    for = "5s"
  }

  expect {
    service = 0.6
    toppled = 1
  }
}
