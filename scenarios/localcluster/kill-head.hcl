# The head is killed in the middle of the load: the next in the chain takes over, and nothing is lost or runs twice.
scenario "kill-head" {
  about  = "the head of the chain is killed and comes back"
  length = "12s"
  rate   = 6

  trouble "kill" {
    target = "head"
    at     = "4s"
    for    = "3s"
  }
}
