package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/internalapi"
)

type statusCommand struct{ replicaFlags }

func (c *statusCommand) Run(printer *console.Printer) error {
	var overview internalapi.OverviewReply
	if err := c.call(internalapi.MethodOverview, internalapi.OverviewArgs{}, &overview); err != nil {
		return err
	}
	return c.printer(printer).Print(overview, func(t *console.Table) { statusTable(t, &overview) })
}

func statusTable(t *console.Table, overview *internalapi.OverviewReply) {
	t.Row("node", overview.Node)
	t.Row("zone", console.OrDash(overview.Zone))
	t.Row("address", overview.Self.Address)
	t.Row("identity", overview.Self.ID)
	t.Row("up", console.FormatMilliseconds(overview.UptimeMs))
	t.Row("role", overview.Role)
	if overview.Leaving {
		t.Row("leaving", "yes")
	}
	t.Row("scheduling", console.YesNo(overview.Scheduling))
	t.Row("lease left", console.FormatMilliseconds(overview.LeaseMs))
	t.Row("epoch", overview.View.Epoch)
	t.Row("chain", chainText(overview.View))
	t.Row("loss tolerated", fmt.Sprintf("%d machines (nothing commits under %d in the chain)", overview.Tolerance, overview.Tolerance+1))
	t.Row("index", fmt.Sprintf("committed %d, applied %d, held %d, on disk %d", overview.Committed, overview.Applied, overview.Last,
		overview.Synced))
	t.Row("log", fmt.Sprintf("%d bytes", overview.LogBytes))
	t.Row("configuration", overview.ConfigVersion)
	t.Row("jobs", jobCounts(overview.Jobs))
	t.Row("runs", overview.Runs)
	t.Row("catching up", learnersText(overview.Learners))
}

func chainText(newest view.View) string {
	if !newest.Known() {
		return "no view known"
	}
	addresses := make([]string, len(newest.Chain))
	for i, member := range newest.Chain {
		addresses[i] = member.Address
	}
	return strings.Join(addresses, " > ")
}

func jobCounts(jobs map[string]int) string {
	var counts []string
	for _, state := range slices.Sorted(maps.Keys(jobs)) {
		counts = append(counts, fmt.Sprintf("%d %s", jobs[state], state))
	}
	return strings.Join(counts, ", ")
}

func learnersText(learners []internalapi.LearnerOverview) string {
	if len(learners) == 0 {
		return "nobody (as far as this replica knows)"
	}
	addresses := make([]string, len(learners))
	for i, learner := range learners {
		addresses[i] = learner.Member.Address
	}
	return strings.Join(addresses, " ")
}

type viewCommand struct{ replicaFlags }

// viewOutput is the view with the head's status of each member and learner.
type viewOutput struct {
	View     view.View
	Members  []internalapi.MemberOverview
	Learners []internalapi.LearnerOverview
}

func (c *viewCommand) Run(printer *console.Printer) error {
	overview, err := c.headOverview()
	if err != nil {
		return err
	}
	if !overview.View.Known() {
		return fmt.Errorf("%s has no view yet: it hasn't reached another replica", overview.Self.Address)
	}
	shown := viewOutput{View: overview.View, Members: overview.Members, Learners: overview.Learners}
	return c.printer(printer).Print(shown, func(t *console.Table) { viewTable(t, overview) })
}

// headOverview returns the head's overview. If the head can't be reached or has an older view, it returns the overview of the selected replica.
func (c *viewCommand) headOverview() (*internalapi.OverviewReply, error) {
	address, err := c.Resolve()
	if err != nil {
		return nil, err
	}
	caller := console.NewCaller()
	defer caller.Close()
	var here, atHead internalapi.OverviewReply
	if err := caller.Call(address, internalapi.MethodOverview, internalapi.OverviewArgs{}, &here); err != nil {
		return nil, err
	}
	head := here.View.Head().Address
	if head == "" || head == here.Self.Address {
		return &here, nil
	}
	err = caller.Call(head, internalapi.MethodOverview, internalapi.OverviewArgs{}, &atHead)
	if err != nil || atHead.View.Epoch < here.View.Epoch {
		return &here, nil
	}
	return &atHead, nil
}

func viewTable(t *console.Table, overview *internalapi.OverviewReply) {
	t.Row("epoch", overview.View.Epoch)
	t.Row("reported by", overview.Self.Address, overview.Role)
	t.BlankLine()
	t.Row("PLACE", "ADDRESS", "IDENTITY", "HEARD", "HELD", "ON DISK", "ACKNOWLEDGED", "NOTE")
	for i := range overview.Members {
		member := &overview.Members[i]
		t.Row(positionText(member, len(overview.View.Chain)), member.Member.Address, member.Member.ID, console.FormatMilliseconds(member.HeardMs),
			member.Received, member.Synced, member.Acked, memberNote(member))
	}
	if len(overview.Learners) == 0 {
		return
	}
	t.BlankLine()
	t.Row("CATCHING UP", "IDENTITY", "HEARD", "ON DISK", "BEHIND", "KEPT OUT FOR", "NOTE")
	for i := range overview.Learners {
		learner := &overview.Learners[i]
		t.Row(learner.Member.Address, learner.Member.ID, console.FormatMilliseconds(learner.HeardMs), learner.Acked,
			behind(overview.Last, learner.Acked), console.FormatMilliseconds(learner.PenaltyMs), learnerNote(learner))
	}
}

func positionText(member *internalapi.MemberOverview, chain int) string {
	switch {
	case member.Position < 0:
		return "voter"
	case member.Position == 0:
		return "head"
	case member.Position == chain-1:
		return "tail"
	}
	return "member"
}

func memberNote(member *internalapi.MemberOverview) string {
	switch {
	case member.Gone:
		return "its disk is lost, or it has moved"
	case member.Leaving:
		return "leaving"
	case member.HeardMs < 0:
		return "known at the head only"
	}
	return ""
}

func learnerNote(learner *internalapi.LearnerOverview) string {
	if learner.Admitting {
		return "being taken in"
	}
	return ""
}

func behind(last, acked uint64) uint64 {
	if acked >= last {
		return 0
	}
	return last - acked
}
