package console

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/freeport/freeporttest"
)

// Echo is a service for calls in tests.
type Echo struct{}

// Same returns its argument.
func (Echo) Same(args string, reply *string) error {
	*reply = args
	return nil
}

func TestAddressComesFromFlagOrSettings(t *testing.T) {
	address, err := (&Target{Address: "127.0.0.1:7"}).Resolve()
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:7", address)

	file := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(file, []byte("ip = \"127.0.0.9\"\nephemeralPorts = [7660,7675]\n"), 0o600))
	address, err = (&Target{Settings: file}).Resolve()
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.9:7660", address)
}

func TestUnresolvableAddresses(t *testing.T) {
	_, err := (&Target{}).Resolve()
	assert.ErrorIs(t, err, ErrNoAddress)
	_, err = (&Target{Address: "core-1"}).Resolve()
	assert.ErrorContains(t, err, "IP:PORT")
	_, err = (&Target{Settings: filepath.Join(t.TempDir(), "none")}).Resolve()
	assert.ErrorIs(t, err, os.ErrNotExist)
	file := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(file, []byte("zone = \"a\"\n"), 0o600))
	_, err = (&Target{Settings: file}).Resolve()
	assert.ErrorContains(t, err, "--address")
}

func TestCallErrorsSayWhatToDo(t *testing.T) {
	server, err := transport.Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, server.Register("Echo", Echo{}))
	go func() { _ = server.Serve() }()
	defer server.Close()
	caller := NewCaller()
	defer caller.Close()
	var reply string
	require.NoError(t, caller.Call(server.Addr(), "Echo.Same", "a", &reply))
	assert.Equal(t, "a", reply)
	assert.ErrorContains(t, caller.Call(server.Addr(), "Echo.Other", "a", &reply), "another program")

	assert.ErrorContains(t, caller.Call(freeporttest.Address(t), "Echo.Same", "a", &reply), "check that the process runs")
}

func TestTablesAndJSON(t *testing.T) {
	table := func(t *Table) {
		t.Row("NAME", "FIGURE")
		t.Row("a long name", 1)
		t.BlankLine()
		t.Row("b", OrDash(""), YesNo(true), YesNo(false), FormatMilliseconds(-1), FormatMilliseconds(1500), FormatTime(0), FormatTime(1000))
	}
	var out bytes.Buffer
	require.NoError(t, Printer{Out: &out}.Print(nil, table))
	assert.Equal(t, "NAME         FIGURE\na long name  1\n\nb  -  yes  no  -  1.5s  -  1970-01-01T00:00:01.000Z\n", out.String())
	out.Reset()
	require.NoError(t, Printer{Out: &out, JSON: true}.Print(map[string]int{"a": 1}, table))
	assert.JSONEq(t, `{"a":1}`, out.String())
}
