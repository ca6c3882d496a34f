package control

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
)

func TestListOutageLogsOneLineAndRecoveryAnother(t *testing.T) {
	var out bytes.Buffer
	node := &Node{logger: log.New(&out)}
	for range 20 {
		node.platform.failures++
		node.listReadFailed(errors.New("no answer"))
	}
	assert.Equal(t, 1, strings.Count(out.String(), "list request failed"))
	node.listReadSucceeded()
	node.listReadSucceeded()
	assert.Equal(t, 1, strings.Count(out.String(), "succeeded again"))
}

func TestHeadLogsLostWorker(t *testing.T) {
	var out bytes.Buffer
	node := &Node{logger: log.New(&out)}
	lost := &state.Result{Command: state.Command{Kind: state.KindWorkerLost, WorkerLost: "w-1"}, Jobs: []*state.Job{{}, {}}}
	node.logWorkerLost(lost)
	assert.Empty(t, out.String())
	node.schedulerActive = true
	node.logWorkerLost(&state.Result{Command: lost.Command})
	assert.Empty(t, out.String())
	node.logWorkerLost(lost)
	assert.Contains(t, out.String(), "worker=w-1 jobs=2")
}

func TestViewLogNamesMembersThatLeftAndJoined(t *testing.T) {
	var out bytes.Buffer
	node := &Node{logger: log.New(&out)}
	a, b := view.Member{ID: "a:1", Address: "a:1"}, view.Member{ID: "b:1", Address: "b:1"}
	anew := view.Member{ID: "a:1#5877", Address: "a:1"}
	node.logView(view.View{Epoch: 1, Voters: []view.Member{a, b}, Chain: []view.Member{a, b}}, replica.Cause{})
	out.Reset()
	node.logView(view.View{Epoch: 2, Voters: []view.Member{a, b}, Chain: []view.Member{b}}, replica.Cause{})
	assert.Contains(t, out.String(), "left=[a:1] joined=[]")
	out.Reset()
	node.logView(view.View{Epoch: 3, Voters: []view.Member{anew, b}, Chain: []view.Member{b, anew}}, replica.Cause{})
	assert.Contains(t, out.String(), "left=[] joined=[a:1#5877]")
}

func TestViewLogContainsCauseFields(t *testing.T) {
	var out bytes.Buffer
	node := &Node{logger: log.New(&out)}
	node.logView(view.View{Epoch: 1}, replica.Cause{Kind: replica.CauseStuck, Member: "b:1", Silence: 90 * time.Millisecond,
		Paused: 40 * time.Millisecond, Stuck: 310 * time.Millisecond, Patience: 250 * time.Millisecond, Index: 77,
		Sync: 12 * time.Millisecond})
	assert.Contains(t, out.String(), "cause=stuck of=b:1 silence=90ms paused=40ms stuck=310ms patience=250ms sync=12ms index=77")
	assert.NotContains(t, out.String(), "lease-over")
	out.Reset()
	node.logView(view.View{Epoch: 2}, replica.Cause{Kind: replica.CauseHeadSilent, Member: "a:1", LeaseOver: time.Second,
		Answered: []view.ReplicaID{"b:1", "c:1"}, Adopted: true})
	assert.Contains(t, out.String(), `cause=head-silent of=a:1 lease-over=1s answered="[b:1 c:1]" adopted=true`)
}

// A replica that reads many committed configurations at once, as after a restart, puts only the newest in force.
func TestOnlyTheNewestOfManyCommittedConfigurationsIsTaken(t *testing.T) {
	cluster := startCluster(t, 1, 0)
	node := cluster.head(1)
	var out bytes.Buffer
	commit := func(version, base uint64) {
		body := bytes.Replace([]byte(testConfig), []byte(`"version":1`), []byte(fmt.Sprintf(`"version":%d`, version)), 1)
		command := state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Base: base, Version: version, Body: body}}
		result := node.engine.machine.ApplyBytes(command.Encode())
		require.Equal(t, state.Applied, result.Outcome)
		node.commandApplied(result)
	}
	taken := runOnLoop(node, 5*time.Second, "", func(answer func(string)) {
		node.logger = log.New(&out)
		for version := uint64(1); version <= 20; version++ {
			commit(version, version-1)
		}
		node.applyPendingConfig()
		answer(out.String())
	})
	assert.Equal(t, 1, strings.Count(taken, "configuration in force"))
	assert.Contains(t, taken, "version=20")
}

func TestCommitPauseIsReportedShortlyAfterItEnds(t *testing.T) {
	var commits commitPauses
	for at := 10 * time.Millisecond; at <= time.Second; at += 10 * time.Millisecond {
		commits.record(at)
	}
	assert.Equal(t, 30*time.Millisecond, commits.pauseLength(1030*time.Millisecond))
	assert.Equal(t, 700*time.Millisecond, commits.pauseLength(1700*time.Millisecond))
	commits.record(1700 * time.Millisecond)
	commits.record(1701 * time.Millisecond)
	assert.Equal(t, 700*time.Millisecond, commits.pauseLength(1705*time.Millisecond))
	commits.record(1740 * time.Millisecond)
	assert.Equal(t, 20*time.Millisecond, commits.pauseLength(1760*time.Millisecond))
}

func TestRepairedTasksAreLoggedAsWarnings(t *testing.T) {
	var out bytes.Buffer
	node := &Node{logger: log.New(&out)}
	task := state.TaskName{Job: 7}
	node.logWaitingTasks([]scheduler.Finding{{Task: task, Waited: 3 * time.Second, Reason: "no room"}})
	assert.Empty(t, out.String(), "waiting for capacity is not logged at this level")
	node.logWaitingTasks([]scheduler.Finding{{Task: task, Waited: 3 * time.Second, Reason: "its run is doubtful", Worker: "w-1"}})
	assert.Contains(t, out.String(), `INFO task waits task=0000000000000007.0.0.0 waited=3s reason="its run is doubtful" worker=w-1`)
	out.Reset()
	node.logWaitingTasks([]scheduler.Finding{{Task: task, Waited: 3 * time.Second, Reason: "it pauses", Refused: true}})
	assert.Contains(t, out.String(), "INFO task waits")
	out.Reset()
	node.logWaitingTasks([]scheduler.Finding{{Task: task, Waited: 3 * time.Second, Reason: "there is room", Repaired: true}})
	assert.Contains(t, out.String(), "WARN forgotten task scheduled again")
}
