package main

import (
	"testing"

	"gaugeslip/internal/system/console/programtest"
)

func TestMain(m *testing.M) { programtest.Main(m, programName, main) }

// A SIGHUP that comes while the program starts doesn't end it.
func TestAHangUpDuringTheStart(t *testing.T) { programtest.CheckSIGHUPDuringStart(t) }
