package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/scenario"
)

// Times of the front and its clients, as the platform documents them.
const (
	pollInterval        = 200 * time.Millisecond
	pollTimeout         = time.Second
	minRemovalDelay     = 1700 * time.Millisecond // until the front removes a dispatcher that stopped answering: minimum
	maxRemovalDelay     = 3900 * time.Millisecond
	clientIdleTimeout   = time.Second            // idle time of a client's connection, shorter than a dispatcher's
	answerGrace         = 2 * time.Second        // how long a client waits after its deadline, to tell a late answer from none
	recordDelay         = 500 * time.Millisecond // until an answer is in the record, on a machine under load
	defaultRetryDelay   = time.Second            // wait of a client before a retry without a Retry-After
	maxRetryAfter       = 2 * time.Second        // largest Retry-After that the settings allow a dispatcher
	unreachedRetryDelay = 250 * time.Millisecond // until a client tries again when no dispatcher is available
)

// member is a dispatcher as seen by the front.
type member struct {
	proc   *Process
	link   *Link
	room   int
	weight float64

	mu        sync.Mutex
	available bool
}

func (m *member) isAvailable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.available
}

// watch makes the dispatcher available once /up returns 200, and unavailable some time after /up has stopped to, until ctx ends.
func (m *member) watch(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 13))
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var since time.Time // when it stopped answering
	notice := time.Duration(0)
	for {
		up := false
		if req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.link.Addr+"/up", nil); err == nil {
			if resp, err := client.Do(req); err == nil {
				up = resp.StatusCode == http.StatusOK
				resp.Body.Close()
			}
		}
		m.mu.Lock()
		switch {
		case up:
			m.available, since = true, time.Time{}
		case since.IsZero():
			since, notice = time.Now(), minRemovalDelay+time.Duration(rng.Int64N(int64(maxRemovalDelay-minRemovalDelay)))
		case time.Since(since) >= notice:
			m.available = false
		}
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

// front distributes clients over the dispatchers of their room.
type front struct {
	sc      *Scenario
	rec     *recorder
	members []*member
	client  *http.Client
	now     func() time.Duration

	mu      sync.Mutex
	rng     *rand.Rand // draws the dispatcher of each attempt
	load    float64    // present factor on the scenario's load
	clients sync.WaitGroup
}

// pickDispatcher returns an available dispatcher of the room, or of any room if it has none; -1 if none is available.
func (f *front) pickDispatcher(room int) int {
	for _, same := range []bool{true, false} {
		total := 0.0
		var list []int
		for i, m := range f.members {
			if (m.room == room || !same) && m.isAvailable() {
				list = append(list, i)
				total += m.weight
			}
		}
		if len(list) == 0 {
			continue
		}
		x := f.random() * total
		for _, i := range list {
			if x -= f.members[i].weight; x < 0 {
				return i
			}
		}
		return list[len(list)-1]
	}
	return -1
}

func (f *front) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// run offers the scenario's load until its length is over, and returns when all clients have ended. Arrivals depend only on the
// seed: they are a Poisson process whose rate follows the storms.
func (f *front) run(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	next := f.now()
	for n := 0; ; n++ {
		f.mu.Lock()
		load := f.load
		f.mu.Unlock()
		next += time.Duration(rng.ExpFloat64() / (f.sc.baseRate() * f.sc.Load * load) * 1e9)
		if next >= f.sc.length {
			break
		}
		o := f.newOrder(rng, n, next)
		select {
		case <-ctx.Done():
		case <-time.After(next - f.now()):
		}
		if ctx.Err() != nil {
			break
		}
		f.rec.recordOrder(o)
		ignores, early := rng.Float64() < f.sc.Clients.Ignore, rng.Float64() < f.sc.Clients.Early
		f.clients.Go(func() { f.serveClient(ctx, o, ignores, early) })
	}
	f.clients.Wait()
}

// newOrder draws the order of a client.
func (f *front) newOrder(rng *rand.Rand, n int, at time.Duration) *order {
	c := &f.sc.Classes[scenario.Choose(f.sc.Classes, rng.Float64())]
	size := c.Size(rng)
	hint := size * distuv.LogNormal{Sigma: f.sc.Clients.Hint, Src: rng}.Rand()
	o := &order{number: n, class: c, room: rng.IntN(f.sc.Rooms), size: max(time.Duration(size), time.Millisecond),
		hint: max(time.Duration(hint), time.Millisecond), sendTime: at, patience: c.Wait, tenant: -1}
	if len(f.sc.Tenants) > 0 {
		x := rng.Float64()
		for i, t := range f.sc.Tenants {
			if x -= t.Part; x < 0 {
				o.tenant = i
				break
			}
		}
	}
	o.worth = c.Worth * o.size.Seconds()
	o.due = at + c.Within(o.size)
	return o
}

// serveClient makes a client's attempts until it is served, gives up or may not try again.
func (f *front) serveClient(ctx context.Context, o *order, ignores, early bool) {
	cl := f.sc.Clients
	end := o.sendTime + o.patience
	if early {
		end = o.sendTime + o.patience/10
	}
	followsAdvice := false // the attempt follows a Retry-After below the maximum
	for {
		node := f.pickDispatcher(o.room)
		if node < 0 {
			f.rec.mu.Lock()
			f.rec.rep.Unreached++
			f.rec.mu.Unlock()
			if pause.For(ctx, unreachedRetryDelay) != nil || f.now() >= end {
				return
			}
			continue
		}
		status, advice := f.sendAttempt(ctx, o, node, end, early)
		if followsAdvice {
			f.rec.recordAdvisedRetry(status == http.StatusOK)
		}
		harmless := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		if status == http.StatusOK || o.tries > cl.Retries || cl.After == "" || cl.After == "none" || o.class.Once && !harmless {
			return
		}
		wait := time.Millisecond
		followsAdvice = false
		if cl.After == "advice" && !ignores {
			if wait, followsAdvice = advice, advice > 0 && advice < maxRetryAfter; wait == 0 {
				wait = defaultRetryDelay
			}
		}
		if f.now()+wait >= end || pause.For(ctx, wait) != nil {
			return
		}
	}
}

// sendAttempt sends a job to a dispatcher and waits for the answer. Status 0 means that there was none.
func (f *front) sendAttempt(ctx context.Context, o *order, node int, end time.Duration, early bool) (status int, advice time.Duration) {
	m := f.members[node]
	began, left := time.Now(), end-f.now()
	if left <= 0 {
		return 0, 0
	}
	timeout, announced := left+answerGrace, left
	if early { // the client does not announce that it gives up early
		timeout, announced = left, o.sendTime+o.patience-f.now()
	}
	inner, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	id := fmt.Sprintf("%s-%x-%x", o.class.Name, o.number, o.tries)
	body := strings.NewReader(fmt.Sprintf(`{"work_us":%d}`, o.size.Microseconds()))
	req, err := http.NewRequestWithContext(inner, http.MethodPost, "http://"+m.link.Addr+"/"+o.class.Name+"/x", body)
	if err != nil {
		return 0, 0
	}
	req.Header.Set("X-Trace-Id", id)
	if !f.sc.Clients.Keyless {
		req.Header.Set("X-Object", strconv.Itoa(o.number))
	}
	req.Header.Set("X-Size-Hint", strconv.FormatInt(o.hint.Microseconds(), 10))
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(1, announced.Milliseconds()), 10))
	if o.tenant >= 0 {
		req.Header.Set("X-Customer", f.sc.Tenants[o.tenant].Name)
	}
	if o.tries > 0 {
		req.Header.Set("X-Second-Try", "1")
	}
	t := f.rec.recordAttempt(id, o, node, f.now()+left)
	resp, err := f.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
			if s, e := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); e == nil {
				advice = time.Duration(s * 1e9)
			}
		}
	}
	if err != nil && early && errors.Is(err, context.DeadlineExceeded) {
		f.rec.recordGiveUp(id, t)
		return 0, 0
	}
	running, lastChange := m.proc.Running()
	excused := ctx.Err() != nil || !running || lastChange.After(began.Add(-excuseWindow)) || m.link.DisturbedSince(began.Add(-excuseWindow)) ||
		m.proc.isSlowed()
	f.rec.recordAnswer(id, t, status, time.Since(began), excused)
	return status, advice
}

// excuseWindow is how long after a disturbance of a process or a link a missing answer is excused.
const excuseWindow = time.Second
