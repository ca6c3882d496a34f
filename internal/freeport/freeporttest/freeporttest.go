// Package freeporttest reserves ports for the duration of a test.
package freeporttest

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/freeport"
)

func reserve(t testing.TB) *freeport.Reservation {
	t.Helper()
	reservation, err := freeport.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, reservation.Close()) })
	return reservation
}

// Port returns a port that can be opened by its number only.
func Port(t testing.TB) int {
	t.Helper()
	return reserve(t).Port()
}

// Address returns the address of such a port on 127.0.0.1. Connections to it are refused until a listener opens it.
func Address(t testing.TB) string {
	t.Helper()
	return reserve(t).Address()
}
