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

// The front's habits, as the platform's pages have them.
const (
	pollEvery    = 200 * time.Millisecond
	pollTimeout  = time.Second
	noticeLeast  = 1700 * time.Millisecond // until it notices that a dispatcher is gone
	noticeMost   = 3900 * time.Millisecond
	clientIdle   = time.Second            // a client's kept connection, shorter than a dispatcher keeps it
	answerGrace  = 2 * time.Second        // after its deadline a client still listens, to tell late from never
	bookedWithin = 500 * time.Millisecond // what it heard is in the record, on a machine under load
	noAdvice     = time.Second            // a client that was told no time waits so long
	mostAdvice   = 2 * time.Second        // what the settings let a dispatcher tell
	nobodyThere  = 250 * time.Millisecond // until a client tries again where the front has no dispatcher
)

// member is a dispatcher as the front sees it.
type member struct {
	proc   *Process
	link   *Link
	room   int
	weight float64

	mu sync.Mutex
	in bool
}

func (m *member) taken() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.in
}

// watch takes the dispatcher in once /up says 200, and out some time after it stopped to, until ctx ends.
func (m *member) watch(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 13))
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var since time.Time // it does not answer
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
			m.in, since = true, time.Time{}
		case since.IsZero():
			since, notice = time.Now(), noticeLeast+time.Duration(rng.Int64N(int64(noticeMost-noticeLeast)))
		case time.Since(since) >= notice:
			m.in = false
		}
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollEvery):
		}
	}
}

// front deals clients out over the dispatchers of their room.
type front struct {
	sc      *Scenario
	rec     *recorder
	members []*member
	client  *http.Client
	now     func() time.Duration

	mu   sync.Mutex
	rng  *rand.Rand // of what each client draws for itself
	load float64    // at present, against the scenario's
	open sync.WaitGroup
}

// choose gives a dispatcher of the room that is taken in, or of any where it has none; -1: there is none at all.
func (f *front) choose(room int) int {
	for _, same := range []bool{true, false} {
		total := 0.0
		var list []int
		for i, m := range f.members {
			if (m.room == room || !same) && m.taken() {
				list = append(list, i)
				total += m.weight
			}
		}
		if len(list) == 0 {
			continue
		}
		x := f.draw() * total
		for _, i := range list {
			if x -= f.members[i].weight; x < 0 {
				return i
			}
		}
		return list[len(list)-1]
	}
	return -1
}

func (f *front) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// run offers the scenario's load until its length is over, and returns when every client has its answer. Arrivals are drawn by
// the seed alone: a Poisson process whose rate follows the storms.
func (f *front) run(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	next := f.now()
	for n := 0; ; n++ {
		f.mu.Lock()
		load := f.load
		f.mu.Unlock()
		next += time.Duration(rng.ExpFloat64() / (f.sc.rate() * f.sc.Load * load) * 1e9)
		if next >= f.sc.length {
			break
		}
		o := f.wish(rng, n, next)
		select {
		case <-ctx.Done():
		case <-time.After(next - f.now()):
		}
		if ctx.Err() != nil {
			break
		}
		f.rec.asked(o)
		ignores, early := rng.Float64() < f.sc.Clients.Ignore, rng.Float64() < f.sc.Clients.Early
		f.open.Go(func() { f.serve(ctx, o, ignores, early) })
	}
	f.open.Wait()
}

// wish draws what a client wants.
func (f *front) wish(rng *rand.Rand, n int, at time.Duration) *order {
	c := &f.sc.Classes[scenario.Choose(f.sc.Classes, rng.Float64())]
	size := c.Size(rng)
	hint := size * distuv.LogNormal{Sigma: f.sc.Clients.Hint, Src: rng}.Rand()
	o := &order{number: n, class: c, room: rng.IntN(f.sc.Rooms), size: max(time.Duration(size), time.Millisecond),
		hint: max(time.Duration(hint), time.Millisecond), first: at, patience: c.Wait, tenant: -1}
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

// serve makes a client's tries until it is served, gives up or may not try again.
func (f *front) serve(ctx context.Context, o *order, ignores, early bool) {
	cl := f.sc.Clients
	end := o.first + o.patience
	if early {
		end = o.first + o.patience/10
	}
	told := false // it comes when it was told to, and that was not just as late as can be
	for {
		node := f.choose(o.room)
		if node < 0 {
			f.rec.mu.Lock()
			f.rec.rep.Unreached++
			f.rec.mu.Unlock()
			if pause.For(ctx, nobodyThere) != nil || f.now() >= end {
				return
			}
			continue
		}
		status, advice := f.try(ctx, o, node, end, early)
		if told {
			f.rec.followed(status == http.StatusOK)
		}
		harmless := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		if status == http.StatusOK || o.tries > cl.Retries || cl.After == "" || cl.After == "none" || o.class.Once && !harmless {
			return
		}
		wait := time.Millisecond
		told = false
		if cl.After == "advice" && !ignores {
			if wait, told = advice, advice > 0 && advice < mostAdvice; wait == 0 {
				wait = noAdvice
			}
		}
		if f.now()+wait >= end || pause.For(ctx, wait) != nil {
			return
		}
	}
}

// try hands a job to a dispatcher and waits for its answer. Status 0: there was none.
func (f *front) try(ctx context.Context, o *order, node int, end time.Duration, early bool) (status int, advice time.Duration) {
	m := f.members[node]
	began, left := time.Now(), end-f.now()
	if left <= 0 {
		return 0, 0
	}
	listen, said := left+answerGrace, left
	if early { // nobody was told that it would
		listen, said = left, o.first+o.patience-f.now()
	}
	inner, cancel := context.WithTimeout(ctx, listen)
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
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(1, said.Milliseconds()), 10))
	if o.tenant >= 0 {
		req.Header.Set("X-Customer", f.sc.Tenants[o.tenant].Name)
	}
	if o.tries > 0 {
		req.Header.Set("X-Second-Try", "1")
	}
	t := f.rec.taken(id, o, node, f.now()+left)
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
		f.rec.gaveUp(id, t)
		return 0, 0
	}
	running, touched := m.proc.Running()
	excused := ctx.Err() != nil || !running || touched.After(began.Add(-touchedFor)) || m.link.Troubled(began.Add(-touchedFor)) ||
		m.proc.slowedNow()
	f.rec.answered(id, t, status, time.Since(began), excused)
	return status, advice
}

// touchedFor is how long after something was done to a process or a link its effects excuse what goes wrong.
const touchedFor = time.Second
