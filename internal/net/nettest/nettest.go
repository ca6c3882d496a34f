// Package nettest has the shared helpers of the network tests: scripted HTTP servers on loopback sockets, a client, and
// settings for a dispatcher.
package nettest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/settings"
)

// Timeout is how long a test waits for an event that must happen.
const Timeout = 20 * time.Second

// SettingsJSON holds the settings of a small deployment with two classes, of which one is safe to repeat and the other
// is not.
const SettingsJSON = `{"family-info":{"class-stretch":[2.0,2.0],"report-x0":"free slots","tells-start":true},
"kinds":["k"],"limits":{"conn-idle":30000.0,"connect-timeout":250.0,"max-attempts":3,"max-retry-after":1500.0,
"most-held":100,"retry-after":true,"probes":false},"localities":["z"],"locality":"z","ordinal":0,
"replicas-of-me":1,"profiles":[
{"credit":5.0,"deadline":20000.0,"effect":"retryable","name":"plot-load","on-time":15000.0},
{"credit":9.0,"deadline":20000.0,"effect":"fragile","name":"harvest-sale","on-time":15000.0}],
"registry-mode":"ask","rules":{"cold-from":0.12,"warm-up":3600000.0,"tip-multiple":3.0,"overload-for":2000.0},
"report":{"fields":["q","rif","x0"],"how":"pull"},"value-by":"work"}`

// Settings returns the parsed SettingsJSON.
func Settings(t testing.TB) *settings.Settings {
	t.Helper()
	s, err := settings.Parse([]byte(SettingsJSON))
	require.NoError(t, err)
	return s
}

// Call is one request that a Peer has read completely.
type Call struct {
	*http.Request
	Text  string // the body
	Conn  net.Conn
	Index int // the number of the request on its connection, from 0
}

// Serve answers a job with its own body as the result.
func Serve(c *Call) {
	c.WriteText(Chunked(`{"id":"` + c.Header.Get("X-Trace-Id") + `","state":"done","result":"` + c.Text + `"}`))
}

// WriteText writes raw text to the connection.
func (c *Call) WriteText(text string) { io.WriteString(c.Conn, text) }

// Reset closes the connection with a RST.
func (c *Call) Reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Conn.Close()
}

// Peer is a server on a loopback address that runs a script for each request.
type Peer struct {
	Addr  string
	Calls chan *Call // every request, in the order in which it was read
	ln    net.Listener
	mu    sync.Mutex
	conns []net.Conn
	work  sync.WaitGroup
}

// Listen starts a Peer. The script may answer a request or leave it unanswered. The Peer is closed at the end of the
// test.
func Listen(t testing.TB, script func(*Call)) *Peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &Peer{Addr: ln.Addr().String(), Calls: make(chan *Call, 10000), ln: ln}
	p.work.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			p.work.Go(func() { p.follow(c, script) })
		}
	})
	t.Cleanup(p.Close)
	return p
}

// Close stops the Peer and closes all its connections.
func (p *Peer) Close() {
	p.ln.Close()
	p.Hangup()
	p.work.Wait()
}

// Hangup closes the open connections.
func (p *Peer) Hangup() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// Conns returns how many connections have been accepted since the last Hangup.
func (p *Peer) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *Peer) follow(c net.Conn, script func(*Call)) {
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		call := &Call{Request: req, Text: string(body), Conn: c, Index: n}
		p.Calls <- call
		script(call)
	}
}

// Wait receives a value. The test fails if none arrives in time.
func Wait[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Timeout):
		require.FailNow(t, "nothing arrived in time")
		panic("unreachable")
	}
}

// Chunked returns a complete chunked answer with one chunk for each line.
func Chunked(lines ...string) string { return Chunks(lines...) + "0\r\n\r\n" }

// Chunks returns a chunked answer without its last chunk.
func Chunks(lines ...string) string {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, l := range lines {
		text += Chunk(l)
	}
	return text
}

// Chunk returns one chunk with a line.
func Chunk(l string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(l)+1, l) }

// Client is the connection of a client.
type Client struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

// Dial connects to a dispatcher. The connection is closed at the end of the test.
func Dial(t testing.TB, addr string) *Client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return &Client{c, t, bufio.NewReader(c)}
}

// Send writes raw text.
func (c *Client) Send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// Post sends a job.
func (c *Client) Post(path, id, headers, body string) {
	c.t.Helper()
	c.Send("POST " + path + " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id + "\r\n" + headers +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// Answer reads one answer.
func (c *Client) Answer() (*http.Response, string) {
	c.t.Helper()
	c.SetReadDeadline(time.Now().Add(Timeout))
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return resp, string(body)
}

// Closed waits until the other side has closed the connection.
func (c *Client) Closed() {
	c.t.Helper()
	c.SetReadDeadline(time.Now().Add(Timeout))
	_, err := c.r.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}
