package hollow

import (
	"fmt"
	"slices"
	"time"
)

// Rule names what an order broke.
type Rule string

// The rules that a world checks.
const (
	RuleTwice      Rule = "TWICE"      // two runs of a task at once, or a start after a noted done end
	RuleLimit      Rule = "LIMIT"      // a start over an unguarded worker's room
	RuleOrder      Rule = "ORDER"      // a start before its dependencies are done or its time has come
	RuleRoute      Rule = "ROUTE"      // a wrong service, label, or too many on one worker
	RuleBudget     Rule = "BUDGET"     // a start once the retries are used up
	RuleUnasked    Rule = "UNASKED"    // an unknown task, another spec, or after a cancelling
	RuleCheckpoint Rule = "CHECKPOINT" // a checkpoint that isn't the task's
	RuleAlone      Rule = "ALONE"      // a gang's member that waited in vain
	RuleRefused    Rule = "REFUSED"    // a start though every try to hand the job in was refused
	RuleLost       Rule = "LOST"       // an unfinished job with nothing running though its turn has come
)

// Violation is one broken rule.
type Violation struct {
	At     time.Duration
	Rule   Rule
	Task   string
	Worker string // its instance
	Detail string
}

// String tells the violation in one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%v %s %s on %s: %s", violation.At, violation.Rule, violation.Task, violation.Worker, violation.Detail)
}

// checker collects what orders broke. All its methods need the world's lock.
type checker struct {
	violations []Violation
	saved      map[string]time.Duration // the furthest checkpoint of each group
}

func (checker *checker) report(world *World, rule Rule, task, worker, detail string) {
	checker.violations = append(checker.violations, Violation{world.now, rule, task, worker, detail})
}

// recordCheckpoint remembers that a checkpoint of the group reached so far.
func (checker *checker) recordCheckpoint(group string, progress time.Duration) {
	if checker.saved == nil {
		checker.saved = make(map[string]time.Duration)
	}
	checker.saved[group] = max(checker.saved[group], progress)
}

// checkStart looks at a run that is about to begin on its worker.
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
		report(RuleUnasked, "another spec")
	}
	if job.refused {
		report(RuleRefused, "nobody took the job")
	}
	if job.cancelled && world.now > job.cancelledAt+world.settings.Cancel {
		report(RuleUnasked, "after the cancelling")
	}
}

func checkOrder(world *World, started *run, report func(Rule, string)) {
	task := started.task
	if world.now < task.job.due(task.key.repetition)-world.settings.Early {
		report(RuleOrder, "ahead of its time")
	}
	for _, earlier := range task.stage.DependsOn {
		if !task.job.stageDone(task.key.repetition, earlier) {
			report(RuleOrder, fmt.Sprintf("step %d isn't done", earlier))
		}
	}
}

func checkRoute(started *run, report func(Rule, string)) {
	stage := started.task.stage
	worker := started.worker
	if !slices.Contains(started.task.job.Backends, worker.settings.Backend) {
		report(RuleRoute, "service "+worker.settings.Backend)
	}
	if stage.Requirement != "" && !worker.hasLabel(stage.Requirement) {
		report(RuleRoute, "without label "+stage.Requirement)
	}
	if stage.AntiAffinity > 0 && worker.countStage(started.task) >= stage.AntiAffinity {
		report(RuleRoute, "too many of the step on the worker")
	}
	if !started.task.stage.Need.fitsInto(worker.free()) {
		report(RuleLimit, "over the worker's room")
	}
}

func checkReruns(started *run, report func(Rule, string)) {
	task := started.task
	if !task.stage.Speculative && task.running > 0 {
		report(RuleTwice, "another run is present")
	}
	if !task.stage.Speculative && task.hasAcknowledgedDone() {
		report(RuleTwice, "after a noted end done")
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

// hasAcknowledgedDone tells whether an end done is noted, for a gang that of any member.
func (task *task) hasAcknowledgedDone() bool {
	noted := func(end *endRecord) bool { return end.acknowledged && !end.void }
	if !task.stage.Gang {
		return slices.ContainsFunc(task.doneEnds, noted)
	}
	for _, sibling := range task.siblings() {
		if slices.ContainsFunc(sibling.doneEnds, noted) {
			return true
		}
	}
	return false
}

// acknowledgedFailures counts the noted ones among the first ends that failed.
func (task *task) acknowledgedFailures(first int) int {
	count := 0
	for _, end := range task.failedEnds[:first] {
		if end.acknowledged && !end.void {
			count++
		}
	}
	return count
}

// recordStart remembers a start, as ends before it may be noted later.
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

// addStart keeps a start with each of the ends before it that may still be noted.
func addStart(ends []*endRecord, start startRecord) {
	for _, end := range ends {
		if !end.acknowledged && !end.void {
			end.starts = append(end.starts, start)
		}
	}
}

// recordEnd remembers an end; a done one of a gang counts for all of it.
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

// reportIncompleteGang reports a member that waited in vain, unless its job is cancelled.
func (checker *checker) reportIncompleteGang(world *World, ended *run) {
	if !ended.task.job.cancelled {
		checker.report(world, RuleAlone, ended.task.name, ended.worker.instance, "the gang isn't whole")
	}
}

// recordEnd returns what is remembered of a listed end, or nil if no rule asks for it.
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

// acknowledgeEnd follows an acknowledgement of an end: starts after it that were harmless until now may be findings.
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
			checker.report(world, RuleTwice, task.name, start.worker, "had ended done before, noted later")
		case end.reason == endFailed && limit > 0 && !task.stage.LongRunning && task.acknowledgedFailures(start.failed) == limit:
			checker.report(world, RuleBudget, task.name, start.worker, "retries were used up, noted later")
		}
	}
	end.starts = nil
}
