# One trouble after the other: every process of the core at once, a lost disk, a frozen head, dispatchers, workers, and a changed
# configuration between them.
scenario "everything" {
  about       = "kills, a freeze, a lost disk, restarts, crashed and silent workers, a changed configuration"
  length      = "45s"
  rate        = 5
  replicas    = 3
  dispatchers = 3
  workers     = 16

  trouble "freeze" {
    target = "head"
    at     = "4s"
    for    = "4s"
  }
  trouble "reconfigure" {
    at = "10s"
  }
  trouble "kill" {
    target = "replicas"
    at     = "13s"
    for    = "1s"
  }
  trouble "wipe" {
    target = "tail"
    at     = "21s"
    for    = "2s"
  }
  trouble "kill" {
    target = "worker:3"
    at     = "23s"
    for    = "5s"
  }
  trouble "freeze" {
    target = "worker:4"
    at     = "25s"
    for    = "9s"
  }
  trouble "restart" {
    target = "dispatchers"
    at     = "30s"
    for    = "1s"
  }
  trouble "restart" {
    target = "head"
    at     = "38s"
    for    = "1s"
  }
}
