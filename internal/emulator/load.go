package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"
)

// LoadClass describes a class of jobs that a Load sends.
type LoadClass struct {
	Name     string
	Part     float64
	Mean     time.Duration
	Sigma    float64
	OnTime   time.Duration
	Stretch  float64
	Patience time.Duration
	Worth    float64
}

// Load is an open-loop load generator: it sends jobs at a rate that does not depend on earlier answers. Latencies count from the
// intended send time of a job, so that a stall is not hidden by the requests that it delayed (Tene's coordinated omission).
type Load struct {
	Addr     string
	Rate     float64 // jobs a second
	Length   time.Duration
	Classes  []LoadClass
	Seed     uint64
	MaxOpen  int                                // maximum number of open requests; a job beyond it is counted as not sent
	Seen     func(id, class string, status int) // called at each answer; may be nil
	Progress func(*Result)                      // called each second; may be nil
}

// ClassResult holds the results of one class.
type ClassResult struct {
	Sent, Served, InTime, Refused, Failed int
	worthAsked, worthInTime               float64
	Latency                               *hdrhistogram.Histogram // of served jobs, in microseconds
}

// Result holds the results of a Load.
type Result struct {
	Elapsed time.Duration
	Classes map[string]*ClassResult
	NotSent int
	mu      sync.Mutex
}

// Service returns the worth of the jobs answered in time divided by the worth of all jobs sent.
func (r *Result) Service() float64 {
	asked, inTime := 0.0, 0.0
	for _, c := range r.Classes {
		asked, inTime = asked+c.worthAsked, inTime+c.worthInTime
	}
	if asked == 0 {
		return 0
	}
	return inTime / asked
}

// Print writes the result as readable text.
func (r *Result) Print(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, "%.1f s, service %.3f, %d not sent\n", r.Elapsed.Seconds(), r.Service(), r.NotSent)
	for name, c := range r.Classes {
		fmt.Fprintf(w, "  %-14s %d sent, %d served, %d in time, %d refused, %d failed; p50 %.0f ms, p99 %.0f ms\n", name, c.Sent, c.Served,
			c.InTime, c.Refused, c.Failed, float64(c.Latency.ValueAtQuantile(50))/1000, float64(c.Latency.ValueAtQuantile(99))/1000)
	}
}

// Run sends jobs until Length is over or ctx ends, and returns when all requests have ended.
func (l *Load) Run(ctx context.Context) *Result {
	res := &Result{Classes: map[string]*ClassResult{}}
	for _, c := range l.Classes {
		res.Classes[c.Name] = &ClassResult{Latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	}
	rng := rand.New(rand.NewPCG(l.Seed, 5))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 256}}
	defer client.CloseIdleConnections()
	open := make(chan struct{}, max(l.MaxOpen, 1))
	var all sync.WaitGroup
	start, next, shown := time.Now(), time.Duration(0), time.Second
	for n := 0; ; n++ {
		next += time.Duration(rng.ExpFloat64() / l.Rate * 1e9)
		if next >= l.Length {
			break
		}
		k, x := 0, rng.Float64()
		for k < len(l.Classes)-1 && x >= l.Classes[k].Part {
			x -= l.Classes[k].Part
			k++
		}
		c := &l.Classes[k]
		size := float64(c.Mean) * distuv.LogNormal{Mu: -c.Sigma * c.Sigma / 2, Sigma: c.Sigma, Src: rng}.Rand()
		meant := start.Add(next) // captured by the goroutine below, which outlives this iteration
		id := fmt.Sprintf("%s-%x-%x", c.Name, l.Seed, n)
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(meant)):
		}
		if ctx.Err() != nil {
			break
		}
		if l.Progress != nil && next > shown {
			shown += time.Second
			res.mu.Lock()
			res.Elapsed = time.Since(start)
			res.mu.Unlock()
			l.Progress(res)
		}
		select {
		case open <- struct{}{}:
		default:
			res.mu.Lock()
			res.NotSent++
			res.mu.Unlock()
			continue
		}
		all.Go(func() {
			defer func() { <-open }()
			l.sendJob(ctx, client, res, c, id, time.Duration(size), meant)
		})
	}
	all.Wait()
	res.Elapsed = time.Since(start)
	return res
}

// sendJob sends one job and records its outcome.
func (l *Load) sendJob(ctx context.Context, client *http.Client, res *Result, c *LoadClass, id string, size time.Duration, meant time.Time) {
	ctx, cancel := context.WithDeadline(ctx, meant.Add(c.Patience))
	defer cancel()
	body := fmt.Sprintf(`{"work_us":%d}`, size.Microseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr+"/"+c.Name+"/x", strings.NewReader(body))
	status := 0
	if err == nil {
		req.Header.Set("X-Trace-Id", id)
		req.Header.Set("X-Size-Hint", fmt.Sprint(size.Microseconds()))
		req.Header.Set("X-Expires-In-Ms", fmt.Sprint(max(0, time.Until(meant.Add(c.Patience)).Milliseconds())))
		if resp, err := client.Do(req); err == nil {
			if _, err = io.Copy(io.Discard, resp.Body); err == nil {
				status = resp.StatusCode
			}
			resp.Body.Close()
		}
	}
	took := time.Since(meant)
	if l.Seen != nil {
		l.Seen(id, c.Name, status)
	}
	res.mu.Lock()
	defer res.mu.Unlock()
	k := res.Classes[c.Name]
	worth := c.Worth * size.Seconds()
	k.Sent++
	k.worthAsked += worth
	switch status {
	case http.StatusOK:
		k.Served++
		k.Latency.RecordValue(took.Microseconds())
		if took <= min(c.OnTime+time.Duration(c.Stretch*float64(size)), c.Patience) {
			k.InTime++
			k.worthInTime += worth
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		k.Refused++
	default:
		k.Failed++
	}
}
