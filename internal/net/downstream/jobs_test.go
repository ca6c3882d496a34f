package downstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/net/nettest"
	"gaugeslip/internal/waiting"
)

// startWithWaiting starts a dispatcher with a waiting queue.
func startWithWaiting(t *testing.T, script func(*nettest.Call), change func(*waiting.Limits)) (addr string, host *nettest.Peer,
	stop func(), ended chan struct{}) {
	lim := waiting.Defaults()
	if change != nil {
		change(&lim)
	}
	return startDispatcherWith(t, 0, script, &lim)
}

// getJob queries a job until it is final, or once.
func getJob(t *testing.T, addr, id, prefer string) (Job, *http.Response) {
	c := nettest.Dial(t, addr)
	c.Send("GET /jobs/" + id + " HTTP/1.1\r\nHost: h\r\n" + prefer + "\r\n")
	resp, text := c.Answer()
	var j Job
	if resp.StatusCode == 200 {
		require.NoError(t, json.Unmarshal([]byte(text), &j), text)
	}
	return j, resp
}

const async = "Prefer: respond-async\r\n"

// A job that continues without its connection is accepted, found by its id, reported when it ends, and its result is
// kept.
func TestDetachedJob(t *testing.T) {
	addr, host, _, _ := startWithWaiting(t, nettest.Serve, nil)
	c := nettest.Dial(t, addr)
	c.Post("/harvest-sale/7?q=1", "t1", async+"X-Not-Before-Ms: 100\r\nX-Due-Ms: 15000\r\n", "body")
	resp, text := c.Answer()
	assert.Equal(t, "202 /jobs/t1 respond-async", fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Location"), " ",
		resp.Header.Get("Preference-Applied")))
	assert.JSONEq(t, `{"id":"t1","state":"waiting","attempts":0}`, text)
	c.Close()
	j, resp := getJob(t, addr, "t1", "Prefer: wait=20\r\n")
	assert.Equal(t, "wait=20", resp.Header.Get("Preference-Applied"))
	require.NotNil(t, j.Result)
	assert.Equal(t, "served 200 harvest-sale 15000 1 body", fmt.Sprint(j.State, " ", j.Status, " ", j.Class, " ", j.DueMS,
		" ", j.Attempts, " ", *j.Result))
	again, _ := getJob(t, addr, "t1", "")
	assert.Equal(t, j, again, "one final state, however often it is asked for")
	call := nettest.Wait(t, host.Calls)
	assert.Equal(t, "/harvest-sale/7?q=1 t1 body", call.RequestURI+" "+call.Header.Get("X-Trace-Id")+" "+call.Text)
	assert.Empty(t, host.Calls)
}

// A client that keeps its connection gets the host's answer there; so does one that prefers to wait a while first.
func TestAttachedWaits(t *testing.T) {
	addr, _, _, _ := startWithWaiting(t, nettest.Serve, nil)
	for id, headers := range map[string]string{"t1": "X-Not-Before-Ms: 50\r\nX-Expires-In-Ms: 15000\r\n",
		"t2": "Prefer: respond-async, wait=20\r\nX-Not-Before-Ms: 50\r\n"} {
		c := nettest.Dial(t, addr)
		c.Post("/plot-load", id, headers, "body")
		resp, text := c.Answer()
		assert.Equal(t, "200 body", fmt.Sprint(resp.StatusCode, " ", text), id)
	}
	c := nettest.Dial(t, addr)
	c.Post("/plot-load", "t3", "X-Not-Before-Ms: 1000\r\nX-Expires-In-Ms: 1000\r\n", "")
	resp, _ := c.Answer()
	assert.Equal(t, 429, resp.StatusCode, "a wait that can't fit")
}

// Jobs run after the jobs they depend on; checks what becomes of those that follow a failed job. A job that is not
// waiting can be a dependency too.
func TestDependencies(t *testing.T) {
	order := make(chan string, 10)
	addr, _, _, _ := startWithWaiting(t, func(c *nettest.Call) {
		id := c.Header.Get("X-Trace-Id")
		order <- id
		if id == "bad" {
			c.WriteText("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			return
		}
		nettest.Serve(c)
	}, nil)
	say := func(id, headers string) int {
		c := nettest.Dial(t, addr)
		c.Post("/harvest-sale", id, headers, id)
		resp, _ := c.Answer()
		return resp.StatusCode
	}
	assert.Equal(t, 202, say("first", async+"X-Not-Before-Ms: 200\r\n"))
	assert.Equal(t, 202, say("third", async+"X-After: first\r\n"))
	assert.Equal(t, 409, say("lost", async+"X-After: nobody\r\n"))
	assert.Equal(t, 409, say("first", async), "an id used twice")
	assert.Equal(t, 409, say("third", ""), "by a fresh job")
	assert.Equal(t, 202, say("bad", async+"X-Not-Before-Ms: 100\r\n"))
	assert.Equal(t, 424, say("stays", "X-After: bad, first\r\nX-Expires-In-Ms: 20000\r\n"))
	assert.Equal(t, 424, say("late", async+"X-After: bad\r\n"))
	assert.Equal(t, 200, say("fresh", ""))
	assert.Equal(t, 200, say("next", "X-After: third,fresh\r\nX-Expires-In-Ms: 20000\r\n"))
	j, _ := getJob(t, addr, "stays", "")
	assert.Equal(t, "failed 424", fmt.Sprint(j.State, " ", j.Status))
	close(order)
	var all []string
	for id := range order {
		all = append(all, id)
	}
	assert.ElementsMatch(t, []string{"bad", "fresh", "first", "third", "next"}, all)
	assert.Less(t, strings.Index(fmt.Sprint(all), "first"), strings.Index(fmt.Sprint(all), "third"))
}

// Header values are parsed strictly; each error names its header, and no job is accepted.
func TestWaitingHeaders(t *testing.T) {
	addr, host, _, _ := startWithWaiting(t, nettest.Serve, nil)
	many := strings.Repeat("a,", 5) + "b,c,d,e,f,g,h,i,j,k,l,m,n,o,p,q"
	n := 0
	for headers, want := range map[string]string{
		"X-Not-Before-Ms: soon\r\n":                     "400 X-Not-Before-Ms",
		"X-Not-Before-Ms: -1\r\n":                       "400 X-Not-Before-Ms",
		"X-Not-Before-Ms: +1\r\n":                       "400 X-Not-Before-Ms",
		"X-Not-Before-Ms: 1.5\r\n":                      "400 X-Not-Before-Ms",
		"X-Not-Before-Ms:\r\n":                          "400 X-Not-Before-Ms",
		"X-Not-Before-Ms: 99999999999999999999\r\n":     "400 X-Not-Before-Ms",
		async + "X-Not-Before-Ms: 86400001\r\n":         "400 X-Not-Before-Ms",
		"X-Not-Before-Ms: 1\r\nX-Not-Before-Ms: 2\r\n":  "400 X-Not-Before-Ms: more than one",
		"X-Due-Ms: 0\r\n":                               "400 X-Due-Ms",
		"X-Due-Ms: 1e3\r\n":                             "400 X-Due-Ms",
		async + "X-Due-Ms: 3600001\r\n":                 "400 X-Due-Ms: more than max_due",
		"X-After: \r\n":                                 "400 X-After",
		"X-After: a,,b\r\n":                             "400 X-After",
		"X-After: a b\r\n":                              "400 X-After",
		"X-After: " + many + "\r\n":                     "400 X-After: 17 ids",
		"Prefer: wait=soon\r\n":                         "400 Prefer",
		"Prefer: respond-async, wait=\"-1\"\r\n":        "400 Prefer",
		"X-Due-Ms: 1\r\nX-After: nobody\r\n":            "409 X-After: unknown id nobody",
		"X-Not-Before-Ms: 99\r\nX-Expires-In-Ms: 9\r\n": "429",
	} {
		c := nettest.Dial(t, addr)
		n++
		c.Post("/plot-load", fmt.Sprint("t", n), headers, "")
		resp, text := c.Answer()
		assert.Contains(t, fmt.Sprint(resp.StatusCode, " ", text), want, headers)
	}
	assert.Empty(t, host.Calls)
}

// RFC 7240 on Prefer: several headers form one list, names are case-insensitive, the first of a name counts, and
// unknown ones are ignored.
func TestPreferences(t *testing.T) {
	for text, want := range map[string]preference{
		"":                              {},
		"respond-async":                 {async: true},
		"Respond-Async, wait=10":        {async: true, wait: 10 * time.Second},
		"wait=\"5\"; foo=1|wait=9":      {wait: 5 * time.Second},
		"return=minimal, handling=lax":  {},
		"wait=1000000":                  {wait: maxQueryWait},
		"return=minimal|respond-async ": {async: true},
	} {
		p, err := parsePreferences(http.Header{"Prefer": strings.Split(text, "|")})
		require.NoError(t, err)
		assert.Equal(t, want, p, text)
	}
}

// Checks each status of querying, cancelling and listing jobs.
func TestJobsInterface(t *testing.T) {
	hold := make(chan struct{})
	addr, host, _, _ := startWithWaiting(t, func(c *nettest.Call) { <-hold; nettest.Serve(c) }, nil)
	ask := func(line string) string {
		c := nettest.Dial(t, addr)
		c.Send(line + " HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, text := c.Answer()
		return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Allow"), " ", text)
	}
	c := nettest.Dial(t, addr)
	for id, headers := range map[string]string{"waits": "X-Not-Before-Ms: 60000\r\n", "out": ""} {
		c.Post("/harvest-sale", id, async+headers, "")
		resp, _ := c.Answer()
		assert.Equal(t, 202, resp.StatusCode)
	}
	nettest.Wait(t, host.Calls)
	for _, x := range []struct{ line, want string }{
		{"GET /jobs/nobody", "404"}, {"GET /jobs/%20", "404"}, {"DELETE /jobs/nobody", "404"},
		{"PUT /jobs/waits", "405 GET, DELETE"}, {"DELETE /jobs", "405 GET"}, {"GET /jobs?most=0", "400"},
		{"GET /jobs?most=many", "400"}, {"GET /jobs?from=nobody", "404"}, {"GET /jobs/waits", `"state":"waiting"`},
		{"DELETE /jobs/out", "409"}, {"DELETE /jobs/waits", `"state":"cancelled"`},
		{"DELETE /jobs/waits", "200"}, {"GET /jobs/waits", `"status":410`}, {"GET /jobs?most=1", `"next":`},
		{"GET /jobs", `"room":{"waiting":0,"ready":0,"released":1,"kept":1,`},
	} {
		assert.Contains(t, ask(x.line), x.want, x.line)
	}
	close(hold)
	j, _ := getJob(t, addr, "out", "Prefer: wait=20\r\n")
	assert.Equal(t, "served", j.State)
}

// A client that disconnects while its job waits cancels it; nothing is sent.
func TestLeavesWhileWaiting(t *testing.T) {
	addr, host, _, _ := startWithWaiting(t, nettest.Serve, nil)
	c := nettest.Dial(t, addr)
	c.Post("/harvest-sale", "t1", "X-Not-Before-Ms: 10000\r\nX-Expires-In-Ms: 20000\r\n", "")
	known := func(state string) func() bool {
		return func() bool { j, _ := getJob(t, addr, "t1", ""); return j.State == state }
	}
	require.Eventually(t, known("waiting"), nettest.Timeout, time.Millisecond)
	c.Close()
	require.Eventually(t, known("cancelled"), nettest.Timeout, time.Millisecond)
	assert.Empty(t, host.Calls)
}

// A full queue refuses jobs with a Retry-After.
func TestQueueIsFull(t *testing.T) {
	addr, _, _, _ := startWithWaiting(t, nettest.Serve, func(l *waiting.Limits) { l.MaxJobs, l.ClientShare = 2, 1 })
	c := nettest.Dial(t, addr)
	status := func(id string) string {
		c.Post("/plot-load", id, async+"X-Not-Before-Ms: 60000\r\n", "")
		resp, _ := c.Answer()
		return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Retry-After"))
	}
	assert.Equal(t, "202 ", status("a"))
	assert.Equal(t, "202 ", status("b"))
	assert.Regexp(t, `^503 \d+`, status("c"))
}

// After SIGTERM connected clients and pending queries get an answer, and a job at a host may end.
func TestStopsWithWaitingJobs(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) }) // runs after all other cleanups
	hold := make(chan struct{})
	lim := waiting.Defaults()
	addr, host, stop, ended := startDispatcherWith(t, 0, func(c *nettest.Call) { <-hold; nettest.Serve(c) }, &lim)
	line, asks, out := nettest.Dial(t, addr), nettest.Dial(t, addr), nettest.Dial(t, addr)
	line.Post("/plot-load", "line", "X-Not-Before-Ms: 15000\r\nX-Expires-In-Ms: 20000\r\n", "")
	out.Post("/harvest-sale", "out", async, "")
	resp, _ := out.Answer()
	assert.Equal(t, 202, resp.StatusCode)
	nettest.Wait(t, host.Calls)
	asks.Send("GET /jobs/out HTTP/1.1\r\nHost: h\r\nPrefer: wait=60\r\n\r\n")
	require.Eventually(t, func() bool { j, _ := getJob(t, addr, "line", ""); return j.State == "waiting" }, nettest.Timeout,
		time.Millisecond)
	stop()
	resp, _ = line.Answer()
	assert.Equal(t, 503, resp.StatusCode)
	resp, text := asks.Answer()
	assert.Equal(t, 200, resp.StatusCode, text)
	select {
	case <-ended:
		assert.Fail(t, "it ends though a job is out")
	case <-time.After(100 * time.Millisecond):
	}
	close(hold)
	nettest.Wait(t, ended)
}

// A panic in the core fails the jobs that it was handling; jobs that only wait stay in the queue.
func TestPanicKeepsWaitingJobs(t *testing.T) {
	addr, host, _, _ := startWithWaiting(t, nettest.Serve, nil)
	c := nettest.Dial(t, addr)
	c.Post("/plot-load", "waits", async+"X-Not-Before-Ms: 1000\r\n", "body")
	resp, _ := c.Answer()
	assert.Equal(t, 202, resp.StatusCode)
	wrong := &loop.Ticket{Arrived: time.Now()}
	wrong.Job.Class, wrong.Job.Budget, wrong.Forward.TraceID = 99, time.Second, "wrong"
	require.NoError(t, lastLoop.Submit(wrong)) // an unknown class makes the core panic
	assert.Equal(t, loop.Answer{}, nettest.Wait(t, wrong.Answer()))
	j, _ := getJob(t, addr, "waits", "Prefer: wait=20\r\n")
	assert.Equal(t, "served", j.State)
	nettest.Wait(t, host.Calls)
}
