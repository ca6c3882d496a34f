package policy_test

import (
	"fmt"
	"time"

	"gaugeslip/policy"
)

// A scheduler has one Dispatcher. It calls Step with the time of its clock and the events since the last call,
// carries out the actions in order, and passes a TimerFired when a Timer is due. Each Send ends in one
// AttemptEnded, at the latest a TimedOut at the client's deadline. The first OK is the client's answer, and
// Finished is set from then on. The rules hold only if every list change and every result is passed on.
func Example() {
	d, err := policy.New(policy.Config{Replicas: 1, Zones: 1, Kinds: 1, MaxAttempts: 2, WorthByWork: true,
		Classes: []policy.Class{{Name: "render", OnTime: 200 * time.Millisecond, Stretch: 2,
			Deadline: 5 * time.Second, Worth: 1, Kind: -1}}}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	var acts []policy.Action
	step := func(in ...policy.Event) {
		acts = d.Step(now, in, acts[:0])
		for _, a := range acts {
			switch a.Kind {
			case policy.Send:
				fmt.Println("send job", a.Job, "to worker", a.Worker)
			case policy.Refuse:
				fmt.Println("refuse job", a.Job)
			}
		}
	}
	step(policy.Event{Kind: policy.WorkerList, Whole: true, Workers: []policy.Worker{{ID: 7, Scale: 1}}})
	step(policy.Event{Kind: policy.JobArrived, Job: 1, Tenant: -1, Budget: 5 * time.Second, Size: 100 * time.Millisecond})
	now += 90 * time.Millisecond
	step(policy.Event{Kind: policy.AttemptEnded, Job: 1, Worker: 7, Result: policy.OK, Finished: true,
		Took: 90 * time.Millisecond})
	// A retry with little time left: the job would be late, so it is refused at once.
	step(policy.Event{Kind: policy.JobArrived, Job: 2, Tenant: -1, Budget: time.Second, Size: 100 * time.Millisecond,
		Retry: true})
	// Output:
	// send job 1 to worker 7
	// refuse job 2
}
