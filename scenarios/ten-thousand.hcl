# Ten thousand game workers and a hundred dispatchers.
scenario "ten-thousand" {
  about       = "Ten thousand game workers and a hundred dispatchers."
  length      = "30s"
  load        = 0.7
  dispatchers = 100
  rooms       = 3
  delay       = "500us"

  hosts "small-box" {
    count = 5000
    lanes = 2
    speed = 1.0
  }

  hosts "wide-box" {
    count = 5000
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

  expect {
    service = 0.5
  }
}
