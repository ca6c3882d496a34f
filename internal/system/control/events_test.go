package control

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/state"
)

func TestAnOutageOfTheListIsOneLineAndItsEndAnother(t *testing.T) {
	var out bytes.Buffer
	node := &Node{logger: log.New(&out)}
	for range 20 {
		node.listFailures++
		node.listNotRead(errors.New("no answer"))
	}
	assert.Equal(t, 1, strings.Count(out.String(), "list not read"))
	node.listRead()
	node.listRead()
	assert.Equal(t, 1, strings.Count(out.String(), "read again"))
}

func TestALostWorkerIsToldOfAtTheHead(t *testing.T) {
	var out bytes.Buffer
	node := &Node{logger: log.New(&out)}
	lost := &state.Result{Command: state.Command{Kind: state.KindWorkerLost, WorkerLost: "w-1"}, Jobs: []*state.Job{{}, {}}}
	node.tellOfLoss(lost)
	assert.Empty(t, out.String())
	node.schedulerActive = true
	node.tellOfLoss(&state.Result{Command: lost.Command})
	assert.Empty(t, out.String())
	node.tellOfLoss(lost)
	assert.Contains(t, out.String(), "worker=w-1 jobs=2")
}
