// Package console contains what the operator commands of both programs share: calls to a running process, tables, and JSON.
package console

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/system/nodesettings"
)

// CallTimeout limits one call to a running process.
const CallTimeout = 5 * time.Second

// ErrNoAddress means that neither a flag nor a settings file gives the address to call.
var ErrNoAddress = errors.New("no address: give --address IP:PORT, or name a settings file by --settings or " + nodesettings.FileVariable)

// Target contains the flags that select a running process.
type Target struct {
	Address  string `placeholder:"IP:PORT" help:"Internal address of the process: its ip with the first of its ephemeralPorts. Default: that of the settings file."`
	Settings string `env:"GAUGESLIP_NODE_FILE" placeholder:"FILE" help:"Settings file (TOML) that gives the address. No default."`
}

// Resolve returns the address that the flags select.
func (t *Target) Resolve() (string, error) {
	if t.Address != "" {
		if _, err := netip.ParseAddrPort(t.Address); err != nil {
			return "", fmt.Errorf("--address %q is not of the form IP:PORT", t.Address)
		}
		return t.Address, nil
	}
	if t.Settings == "" {
		return "", ErrNoAddress
	}
	settings, err := nodesettings.Load(t.Settings)
	if err != nil {
		return "", err
	}
	address := settings.InternalAddress()
	if address == "" {
		return "", fmt.Errorf("settings %s: ip and ephemeralPorts are needed for the address; or give --address", t.Settings)
	}
	return address, nil
}

// Caller calls running processes over the internal protocol.
type Caller struct{ client *transport.Client }

// NewCaller returns a caller without open connections.
func NewCaller() *Caller { return &Caller{client: transport.NewClient(transport.Options{})} }

// Close closes the caller's connections.
func (c *Caller) Close() { _ = c.client.Close() }

// Call calls a method. Its error tells the operator what to do.
func (c *Caller) Call(address, method string, args, reply any) error {
	err := c.client.Call(address, method, args, reply, CallTimeout)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, transport.ErrNotSent):
		return fmt.Errorf("nothing answers at %s: check that the process runs and that this is its internal address, "+
			"not the operator's or clients': %w", address, err)
	case errors.Is(err, transport.ErrUnknown):
		return fmt.Errorf("no answer from %s within %s: it may be frozen or unreachable; ask another: %w", address, CallTimeout, err)
	}
	return fmt.Errorf("%s refuses %s: it may be another program or an older version: %w", address, method, err)
}

// Printer writes the output of a command, as tables or as JSON.
type Printer struct {
	Out  io.Writer
	JSON bool
}

// Print writes the value as JSON, or calls table to write it.
func (p Printer) Print(value any, table func(*Table)) error {
	if p.JSON {
		encoder := json.NewEncoder(p.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	t := &Table{writer: tabwriter.NewWriter(p.Out, 0, 0, columnGap, ' ', 0)}
	table(t)
	return t.writer.Flush()
}

const columnGap = 2

// Table writes aligned columns.
type Table struct{ writer *tabwriter.Writer }

// Row writes one line. It formats the columns with fmt.Sprint.
func (t *Table) Row(columns ...any) {
	texts := make([]string, len(columns))
	for i, column := range columns {
		texts[i] = fmt.Sprint(column)
	}
	line := strings.TrimRight(strings.Join(texts, "\t"), "\t ")
	_, _ = fmt.Fprintln(t.writer, line)
}

// BlankLine writes an empty line. The rows after it are aligned separately.
func (t *Table) BlankLine() {
	_, _ = fmt.Fprintln(t.writer)
	_ = t.writer.Flush()
}

// YesNo formats a boolean for tables.
func YesNo(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}

// OrDash formats a text for tables; it returns "-" for an empty one.
func OrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// FormatMilliseconds formats a duration for tables. A negative one is unknown and becomes "-".
func FormatMilliseconds(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// FormatTime formats a Unix time in milliseconds as UTC for tables. 0 means no time and becomes "-".
func FormatTime(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format("2006-01-02T15:04:05.000Z")
}
