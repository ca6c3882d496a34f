package hollow

import (
	"fmt"
	"slices"
	"time"
)

// Rule is the name of a rule for orders.
type Rule string

// The rules that a world checks.
const (
	RuleTwice      Rule = "TWICE"      // two runs of a task at once, or a start after an acknowledged done end
	RuleLimit      Rule = "LIMIT"      // a start beyond the capacity of an unguarded worker
	RuleOrder      Rule = "ORDER"      // a start before its dependencies are done or before it is due
	RuleRoute      Rule = "ROUTE"      // a wrong service or label, or too many tasks on one worker
	RuleBudget     Rule = "BUDGET"     // a start after the retries were used up
	RuleUnasked    Rule = "UNASKED"    // an unknown task, a wrong spec, or a start after the cancellation
	RuleCheckpoint Rule = "CHECKPOINT" // a checkpoint that is not the task's
	RuleAlone      Rule = "ALONE"      // a gang member whose gang did not become complete in time
	RuleRefused    Rule = "REFUSED"    // a start although every attempt to submit the job was refused
	RuleLost       Rule = "LOST"       // an unfinished job with nothing running although a task is ready
)

// Violation is one broken rule.
type Violation struct {
	At     time.Duration
	Rule   Rule
	Task   string
	Worker string // instance ID
	Detail string
}

// String returns the violation as one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%v %s %s on %s: %s", violation.At, violation.Rule, violation.Task, violation.Worker, violation.Detail)
}

// checker collects the violations. All its methods require the world's lock.
type checker struct {
	violations []Violation
	saved      map[string]time.Duration // furthest checkpoint of each group
}

func (checker *checker) report(world *World, rule Rule, task, worker, detail string) {
	checker.violations = append(checker.violations, Violation{world.now, rule, task, worker, detail})
}

// recordCheckpoint records the progress of a checkpoint of the group.
func (checker *checker) recordCheckpoint(group string, progress time.Duration) {
	if checker.saved == nil {
		checker.saved = make(map[string]time.Duration)
	}
	checker.saved[group] = max(checker.saved[group], progress)
}

// checkStart checks a run that is about to start against the rules.
func (checker *checker) checkStart(world *World, started *run, spec string) {
	report := func(rule Rule, detail string) {
		checker.report(world, rule, started.task.name, started.worker.instance, detail)
	}
	checkRequested(world, started, spec, report)
	checkOrder(world, started, report)
	checkRoute(started, report)
	checkReruns(started, report)
	checker.checkCheckpoint(started, report)
	started.task.recordStart(world.now, started.worker.instance)
}

func checkRequested(world *World, started *run, spec string, report func(Rule, string)) {
	job := started.task.job
	if spec != job.Spec {
		report(RuleUnasked, "wrong spec")
	}
	if job.refused {
		report(RuleRefused, "every attempt to submit the job was refused")
	}
	if job.cancelled && world.now > job.cancelledAt+world.settings.Cancel {
		report(RuleUnasked, "started after the cancellation")
	}
}

func checkOrder(world *World, started *run, report func(Rule, string)) {
	task := started.task
	if world.now < task.job.due(task.key.repetition)-world.settings.Early {
		report(RuleOrder, "started before its due time")
	}
	for _, earlier := range task.stage.DependsOn {
		if !task.job.stageDone(task.key.repetition, earlier) {
			report(RuleOrder, fmt.Sprintf("step %d is not done", earlier))
		}
	}
}

func checkRoute(started *run, report func(Rule, string)) {
	stage := started.task.stage
	worker := started.worker
	if !slices.Contains(started.task.job.Backends, worker.settings.Backend) {
		report(RuleRoute, "wrong service "+worker.settings.Backend)
	}
	if stage.Requirement != "" && !worker.hasLabel(stage.Requirement) {
		report(RuleRoute, "worker lacks label "+stage.Requirement)
	}
	if stage.AntiAffinity > 0 && worker.countStage(started.task) >= stage.AntiAffinity {
		report(RuleRoute, "too many tasks of the step on the worker")
	}
	if !started.task.stage.Need.fitsInto(worker.free()) {
		report(RuleLimit, "exceeds the worker's capacity")
	}
}

func checkReruns(started *run, report func(Rule, string)) {
	task := started.task
	if !task.stage.Speculative && task.running > 0 {
		report(RuleTwice, "another run of the task is present")
	}
	if !task.stage.Speculative && task.hasAcknowledgedDone() {
		report(RuleTwice, "started after an acknowledged done end")
	}
	if limit := task.job.MaxRetries; limit > 0 && !task.stage.LongRunning && task.acknowledgedFailures(len(task.failedEnds)) >= limit {
		report(RuleBudget, "retries are used up")
	}
}

func (checker *checker) checkCheckpoint(started *run, report func(Rule, string)) {
	if started.checkpoint == "" {
		return
	}
	group := started.task.checkpointGroup()
	progress, valid := checkpointProgress(group, started.checkpoint)
	if !valid || progress > checker.saved[group] {
		report(RuleCheckpoint, started.checkpoint)
	}
}

// hasAcknowledgedDone reports whether a done end of the task, or of any member of its gang, is acknowledged.
func (task *task) hasAcknowledgedDone() bool {
	acknowledged := func(end *endRecord) bool { return end.acknowledged && !end.void }
	if !task.stage.Gang {
		return slices.ContainsFunc(task.doneEnds, acknowledged)
	}
	for _, sibling := range task.siblings() {
		if slices.ContainsFunc(sibling.doneEnds, acknowledged) {
			return true
		}
	}
	return false
}

// acknowledgedFailures returns how many of the first failed ends are acknowledged.
func (task *task) acknowledgedFailures(first int) int {
	count := 0
	for _, end := range task.failedEnds[:first] {
		if end.acknowledged && !end.void {
			count++
		}
	}
	return count
}

// recordStart records a start with the earlier ends, because these may be acknowledged later.
func (task *task) recordStart(now time.Duration, worker string) {
	start := startRecord{at: now, worker: worker, failed: len(task.failedEnds)}
	addStart(task.failedEnds, start)
	addStart(task.doneEnds, start)
	if task.stage.Gang {
		for _, sibling := range task.siblings() {
			if sibling != task {
				addStart(sibling.doneEnds, start)
			}
		}
	}
	task.running++
}

// addStart adds a start to each of the ends that may still be acknowledged.
func addStart(ends []*endRecord, start startRecord) {
	for _, end := range ends {
		if !end.acknowledged && !end.void {
			end.starts = append(end.starts, start)
		}
	}
}

// recordEnd records the end of a run. A done end of a gang member counts for the whole gang.
func (checker *checker) recordEnd(world *World, ended *run, reason endReason) {
	task := ended.task
	task.running--
	task.lastEnd = world.now
	if reason == endDone {
		task.done = true
		task.job.lastDone = world.now
	}
	if reason == endDone && task.stage.Gang {
		for index := range task.stage.Count {
			key := task.key
			key.index = index
			task.job.task(key).done = true
		}
	}
}

// reportIncompleteGang reports a member whose gang did not become complete, unless its job is cancelled.
func (checker *checker) reportIncompleteGang(world *World, ended *run) {
	if !ended.task.job.cancelled {
		checker.report(world, RuleAlone, ended.task.name, ended.worker.instance, "the gang is incomplete")
	}
}

// recordEnd adds the record of a listed end and returns it, or returns nil if no rule needs one.
func (task *task) recordEnd(reason endReason) *endRecord {
	record := &endRecord{task: task, reason: reason}
	switch reason {
	case endDone:
		task.doneEnds = append(task.doneEnds, record)
	case endFailed:
		task.failedEnds = append(task.failedEnds, record)
	default:
		return nil
	}
	return record
}

// acknowledgeEnd handles the acknowledgement of an end. Starts after the end that broke no rule until now may become violations.
func (checker *checker) acknowledgeEnd(world *World, end *endRecord) {
	if end == nil || end.acknowledged || end.void {
		return
	}
	end.acknowledged = true
	task := end.task
	for _, start := range end.starts {
		limit := task.job.MaxRetries
		switch {
		case end.reason == endDone && !task.stage.Speculative:
			checker.report(world, RuleTwice, task.name, start.worker, "task had ended done before the start, acknowledged later")
		case end.reason == endFailed && limit > 0 && !task.stage.LongRunning && task.acknowledgedFailures(start.failed) == limit:
			checker.report(world, RuleBudget, task.name, start.worker, "retries were used up before the start, acknowledged later")
		}
	}
	end.starts = nil
}
