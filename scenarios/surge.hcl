# A storm of four times the load for 10 s, through 30 dispatchers that share nothing, with the settings for overload on.
scenario "surge" {
  about       = "A storm of four times the load for 10 s, through 30 dispatchers that share nothing, with the settings for overload on."
  length      = "40s"
  load        = 0.75
  dispatchers = 30
  rooms       = 3
  delay       = "500us"
  skew        = 0.4

  hosts "small-box" {
    count = 30
    lanes = 2
    speed = 1.0
  }

  hosts "wide-box" {
    count = 30
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

  overload {
    questions  = 2
    keep_lanes = true
    margin     = 4
    repeats    = 0.2
    shed       = true
  }

  trouble "surge" {
    at    = "5s"
    for   = "10s"
    times = 4
  }

  expect {
    service = 0.5
    recover = "15s"
  }
}
