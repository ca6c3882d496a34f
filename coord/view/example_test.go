package view_test

import (
	"fmt"
	"time"

	"gaugeslip/coord/view"
)

// Three voters agree on the next view, which leaves out the member that does not answer.
func Example() {
	members := []view.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	current := view.View{Epoch: 4, Voters: members, Chain: members}
	next := current.Next()
	next.Chain = view.Without(next.Chain, func(id view.ReplicaID) bool { return id == "a" })

	acceptors := map[view.ReplicaID]*view.Acceptor{"b": {}, "c": {}} // a does not answer
	for _, acceptor := range acceptors {
		acceptor.Reset(next.Epoch)
	}
	proposer := view.NewProposer("b", 1)
	proposer.Prepare(time.Second, &next)
	for id, acceptor := range acceptors {
		promise := &view.Promise{Ballot: proposer.Ballot, OK: acceptor.Prepare(proposer.Ballot)}
		proposer.Promised(time.Second, id, promise, current.Majority())
	}
	proposer.Accept(time.Second, &next)
	for id, acceptor := range acceptors {
		accepted := &view.Accepted{Ballot: proposer.Ballot, OK: acceptor.Accept(proposer.Ballot, next)}
		if decided, _ := proposer.Accepted(id, accepted, current.Majority()); decided {
			fmt.Println("epoch", next.Epoch, "head", next.Head().ID, "tail", next.Tail().ID)
			break
		}
	}
	// Output: epoch 5 head b tail c
}
