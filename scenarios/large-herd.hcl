# 80 dispatchers and 60 hosts: seven in ten dispatchers are restarted within a second while hosts drain and come back.
scenario "large-herd" {
  about       = "80 dispatchers and 60 hosts: seven in ten dispatchers are restarted within a second while hosts drain and come back."
  length      = "24s"
  load        = 0.65
  dispatchers = 80
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
    retries    = 1
    after      = "wait"
    hint_sigma = 0.7
  }

  trouble "restart" {
    at   = "8s"
    for  = "1s"
    part = 0.7
  }

  trouble "drain" {
    at   = "6s"
    for  = "8s"
    part = 0.2
  }

  expect {
    service = 0.7
  }
}
