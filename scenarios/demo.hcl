# What `gaugelab demo --calm` plays on sockets, in the model: ten game workers and one dispatcher, ten times as fast as the farm.
scenario "demo" {
  about       = "What gaugelab demo --calm plays on sockets, in the model."
  length      = "12s"
  load        = 0.6
  dispatchers = 1
  delay       = "500us"

  hosts "small-box" {
    count = 5
    lanes = 2
  }

  hosts "wide-box" {
    count = 5
    lanes = 3
    speed = 0.75
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

  world {
    warm_up      = "5s"
    report_every = "50ms"
  }

  expect {
    service = 0.9
  }
}
