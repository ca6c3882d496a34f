package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gaugeslip/internal/check"
	"gaugeslip/internal/scenario"
)

// Work is the work of the hosts by outcome, as shares of their total capacity.
type Work struct {
	InTime    float64 `json:"in_time"`   // ended early enough to serve its client in time
	Late      float64 `json:"late"`      // ended after its job had lost its value
	Abandoned float64 `json:"abandoned"` // the client no longer waited for it
	Repeated  float64 `json:"repeated"`  // the same job had already run to its end
	Probes    float64 `json:"probes"`    // answering probes
	Shakes    float64 `json:"handshakes"`
	Crossed   float64 `json:"crossed"` // part of all the above that was done for dispatchers of other rooms
}

// Plus returns the sum of w and x, with x multiplied by times.
func (w Work) Plus(x Work, times float64) Work {
	w.InTime, w.Late = w.InTime+x.InTime*times, w.Late+x.Late*times
	w.Abandoned, w.Repeated = w.Abandoned+x.Abandoned*times, w.Repeated+x.Repeated*times
	w.Probes, w.Shakes = w.Probes+x.Probes*times, w.Shakes+x.Shakes*times
	w.Crossed += x.Crossed * times
	return w
}

// Report is the result of a run. Service is the ratio of the worth of jobs answered in time to the worth of all requested jobs.
type Report struct {
	Scenario    string             `json:"scenario"`
	Seed        uint64             `json:"seed"`
	Hosts       int                `json:"hosts"`
	Dispatchers int                `json:"dispatchers"`
	Service     float64            `json:"service"`
	Worst       float64            `json:"worst_window"` // lowest service in a window of 5 s
	Classes     map[string]float64 `json:"classes"`
	Windows     []float64          `json:"windows"`         // service in each window of 5 s; -1: no requests
	Rooms       [][]float64        `json:"rooms,omitempty"` // likewise by the client's room, if there are several
	Recovery    float64            `json:"recovery"`        // seconds from the last surge's end until service is back; -1: never, or no surge
	Jobs        int                `json:"jobs"`
	Served      int                `json:"served"`
	InTime      int                `json:"in_time"`
	Refused     int                `json:"refused"` // tries
	Failed      int                `json:"failed"`  // tries
	Cut         int                `json:"cut"`     // tries that were open at a killed dispatcher
	Unreached   int                `json:"unreached"`
	Retries     int                `json:"retries"`
	Sends       int                `json:"sends"`
	Crossed     int                `json:"crossed"` // sends from one room to another
	Handshakes  int                `json:"handshakes"`
	Probes      int                `json:"probes"`
	Toppled     int                `json:"toppled"`

	Waiting       int     `json:"waiting"` // waiting jobs, not included in the other counts
	WaitingServed int     `json:"waiting_served"`
	WaitingLost   int     `json:"waiting_lost"` // refused, failed, or lost with their dispatcher
	LongestWait   float64 `json:"longest_wait"` // longest wait of those served, as a multiple of the due time

	Used        float64            `json:"used"` // used share of the hosts' capacity
	Work        Work               `json:"work"`
	Steps       int                `json:"steps"`
	Events      uint64             `json:"events"`
	Breaches    map[check.Rule]int `json:"breaches"`
	First       []string           `json:"first_breaches,omitempty"`
	Digest      string             `json:"digest"`
	Wall        float64            `json:"wall_s"`
	JobsASecond float64            `json:"jobs_a_second"`

	hist map[int]*hdrhistogram.Histogram
	P50  map[string]float64 `json:"p50_ms"`
	P99  map[string]float64 `json:"p99_ms"`
}

func (r *Report) latency(class int, d time.Duration) {
	if r.hist == nil {
		r.hist = map[int]*hdrhistogram.Histogram{}
	}
	if r.hist[class] == nil {
		r.hist[class] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
	r.hist[class].RecordValue(int64(d / time.Microsecond))
}

// Curve returns the latency distribution of a class's served jobs, for a plot: times and the share answered within each.
func (r *Report) Curve(class int) (ms, share []float64) {
	h := r.hist[class]
	if h == nil {
		return nil, nil
	}
	for _, b := range h.CumulativeDistribution() {
		ms, share = append(ms, float64(b.ValueAt)/1000), append(share, b.Quantile/100)
	}
	return ms, share
}

// Report returns the result of the run so far.
func (l *Lab) Report() *Report {
	r := &l.report
	r.Windows, r.Steps, r.First = nil, 0, nil
	r.Scenario, r.Seed, r.Hosts, r.Dispatchers = l.scenario.Name, l.seed, len(l.hosts), len(l.nodes)
	r.Classes, r.P50, r.P99 = map[string]float64{}, map[string]float64{}, map[string]float64{}
	var asked, inTime float64
	for i, k := range l.classTallies {
		name := l.scenario.Classes[i].Name
		asked, inTime, r.Jobs = asked+k.asked, inTime+k.inTime, r.Jobs+k.jobs
		r.Classes[name] = ratio(k.inTime, k.asked)
		if h := r.hist[i]; h != nil {
			r.P50[name], r.P99[name] = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
		}
	}
	r.Service, r.Worst = ratio(inTime, asked), 1
	for at := 0; at < len(l.perSecond); at += int(reportWindow / time.Second) {
		x := -1.0
		if w := windowTotal(l.perSecond, at); w.asked > 0 {
			x = w.inTime / w.asked
			r.Worst = min(r.Worst, x)
		}
		r.Windows = append(r.Windows, x)
	}
	r.Rooms = nil
	for _, secs := range l.perRoom[:len(l.perRoom)*min(len(l.perRoom)-1, 1)] {
		var all []float64
		for at := 0; at < len(secs); at += int(reportWindow / time.Second) {
			x := -1.0
			if w := windowTotal(secs, at); w.asked > 0 {
				x = w.inTime / w.asked
			}
			all = append(all, x)
		}
		r.Rooms = append(r.Rooms, all)
	}
	r.Recovery = l.recovery()
	worked := 0.0
	for _, h := range l.hosts {
		worked += h.Worked
	}
	whole := scenario.Capacity(l.scenario.Hosts) * l.scenario.length.Seconds()
	r.Used, r.Work = worked/whole, Work{}.Plus(l.work, 1/whole)
	r.Work.Probes, r.Work.Shakes = float64(r.Probes)*probeWork.Seconds()/whole, float64(r.Handshakes)*handshakeWork.Seconds()/whole
	for _, n := range l.nodes {
		r.Steps += n.steps
	}
	r.Events, r.Digest = l.events, fmt.Sprintf("%016x", l.digest.Sum64())
	r.Wall = l.wallTime.Seconds()
	r.JobsASecond = float64(r.Jobs) / max(r.Wall, 1e-9)
	if l.checker != nil {
		l.checker.End(l.now)
		r.Breaches = l.checker.Counts()
		for _, b := range l.checker.Breaches()[:min(len(l.checker.Breaches()), 10)] {
			b.At -= epoch
			r.First = append(r.First, b.String())
		}
	}
	return r
}

// recovery returns the seconds from the last surge's end until service is at least 0.95 for 5 s; -1: never, or there was no surge.
func (l *Lab) recovery() float64 {
	calm := l.scenario.lastSurgeEnd()
	if calm == 0 {
		return -1
	}
	first := int((calm + time.Second - 1) / time.Second)
	for at := first; at+int(reportWindow/time.Second) < len(l.perSecond); at++ {
		if w := windowTotal(l.perSecond, at); w.inTime >= 0.95*w.asked {
			return float64(at - first)
		}
	}
	return -1
}

// windowTotal returns the sum of the tallies in the window that begins at second.
func windowTotal(secs []tally, second int) (sum tally) {
	for _, s := range secs[second:min(second+int(reportWindow/time.Second), len(secs))] {
		sum.asked, sum.inTime = sum.asked+s.asked, sum.inTime+s.inTime
	}
	return sum
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Broken returns the total number of breaches.
func (r *Report) Broken() (n int) {
	for _, c := range r.Breaches {
		n += c
	}
	return n
}

// Missed returns a description of each expectation that was not met.
func (sc *Scenario) Missed(r *Report) (all []string) {
	if n := r.Broken(); n > 0 {
		all = append(all, fmt.Sprintf("%d rules broken: %v", n, r.First))
	}
	e := sc.Expect
	if e == nil {
		return all
	}
	if e.recover > 0 && (r.Recovery < 0 || r.Recovery > e.recover.Seconds()) {
		all = append(all, fmt.Sprintf("recovery %v s after the surge, %v was expected", r.Recovery, e.recover))
	}
	if r.Service < e.Service {
		all = append(all, fmt.Sprintf("service %.3f, %.3f was expected", r.Service, e.Service))
	}
	for name, x := range r.Classes {
		if x < e.Class {
			all = append(all, fmt.Sprintf("class %s %.3f, %.3f was expected", name, x, e.Class))
		}
	}
	if share := float64(r.Refused) / math.Max(1, float64(r.Jobs)); e.Refused > 0 && share > e.Refused {
		all = append(all, fmt.Sprintf("%.3f refused a job, %.3f at most was expected", share, e.Refused))
	}
	if r.Toppled > e.Toppled {
		all = append(all, fmt.Sprintf("%d hosts fell over, %d at most were expected", r.Toppled, e.Toppled))
	}
	return all
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d: %d hosts, %d dispatchers\n", r.Scenario, r.Seed, r.Hosts, r.Dispatchers)
	fmt.Fprintf(w, "  service %.3f, worst 5 s %.3f", r.Service, r.Worst)
	for name, x := range r.Classes {
		fmt.Fprintf(w, ", %s %.3f (p50 %.0f ms, p99 %.0f ms)", name, x, r.P50[name], r.P99[name])
	}
	fmt.Fprintf(w, "\n  %d jobs, %d served, %d in time; tries: %d refused, %d failed, %d cut off, %d unreached, %d repeated\n",
		r.Jobs, r.Served, r.InTime, r.Refused, r.Failed, r.Cut, r.Unreached, r.Retries)
	fmt.Fprintf(w, "  %d sends, %d across rooms, %d handshakes, %d probes, %d hosts fell over, %.2f of the fleet used\n", r.Sends,
		r.Crossed, r.Handshakes, r.Probes, r.Toppled, r.Used)
	fmt.Fprintf(w, "  its work: %.3f in time, %.3f late, %.3f abandoned, %.3f repeated; %.4f probes, %.4f handshakes; %.3f for other rooms\n",
		r.Work.InTime, r.Work.Late, r.Work.Abandoned, r.Work.Repeated, r.Work.Probes, r.Work.Shakes, r.Work.Crossed)
	if r.Waiting > 0 {
		fmt.Fprintf(w, "  %d waiting jobs: %d served, %d lost or refused, longest wait %.2f due times\n", r.Waiting, r.WaitingServed,
			r.WaitingLost, r.LongestWait)
	}
	fmt.Fprintf(w, "  %d rules broken; digest %s; %d events, %.2f s, %.0f jobs a second\n", r.Broken(), r.Digest, r.Events,
		r.Wall, r.JobsASecond)
	for _, b := range r.First {
		fmt.Fprintf(w, "    %s\n", b)
	}
}

// JSON writes the report as JSON.
func (r *Report) JSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
