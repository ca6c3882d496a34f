# Sends are lost in silence, others are reset, the list of hosts is down, and a host is killed: all at once.
scenario "silence-and-resets" {
  about       = "Sends are lost in silence, others are reset, the list of hosts is down, and a host is killed: all at once."
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

  trouble "silence" {
    at = "20s"
    for = "20s"
    share = 0.03
  }

  trouble "reset" {
    at = "25s"
    for = "20s"
    share = 0.05
  }

  trouble "discovery" {
    at = "22s"
    for = "10s"
  }

  trouble "kill" {
    at = "30s"
    for = "5s"
    part = 0.1
  }

  expect {
    service = 0.7
    toppled = 1
  }
}
