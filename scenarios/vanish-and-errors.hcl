# Two of ten game workers go silent, and while they are away two others fail most of their jobs at once.
scenario "vanish-and-errors" {
  about       = "Two of ten game workers go silent, and while they are away two others fail most of their jobs at once."
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

  trouble "vanish" {
    at = "20s"
    for = "20s"
    part = 0.2
  }

  trouble "errors" {
    at = "30s"
    for = "20s"
    part = 0.2
    share = 0.8
  }

  expect {
    service = 0.55
    toppled = 2 # a host that comes back answers probes a second before the list tells that it is cold
  }
}
