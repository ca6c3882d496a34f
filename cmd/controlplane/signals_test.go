package main

import (
	"testing"

	"gaugeslip/internal/system/console/programtest"
)

func TestMain(m *testing.M) { programtest.Main(m, programName, main) }

// A SIGHUP during the start of the program doesn't end it.
func TestSIGHUPDuringStart(t *testing.T) { programtest.CheckSIGHUPDuringStart(t) }
