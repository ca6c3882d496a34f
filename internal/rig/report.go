package rig

import (
	"encoding/json"
	"fmt"
	"io"
)

// Use counts the load of hosts: seconds of work by outcome (in a Report: shares of the hosts' capacity), probes, and connections
// opened.
type Use struct {
	InTime     float64 `json:"in_time"`
	Late       float64 `json:"late"`
	Abandoned  float64 `json:"abandoned"` // its client had stopped waiting
	Repeated   float64 `json:"repeated"`  // the job had run before, elsewhere or in another attempt
	Probes     int     `json:"probes"`
	Handshakes int     `json:"handshakes"`
}

func (u *Use) add(x *Use) {
	u.InTime, u.Late, u.Abandoned, u.Repeated = u.InTime+x.InTime, u.Late+x.Late, u.Abandoned+x.Abandoned, u.Repeated+x.Repeated
	u.Probes, u.Handshakes = u.Probes+x.Probes, u.Handshakes+x.Handshakes
}

// Second is the worth of the jobs that clients sent in one second of the run, and the worth of those answered in time.
type Second struct {
	Asked  float64 `json:"asked"`
	InTime float64 `json:"in_time"`
}

// Report holds the results of a run.
type Report struct {
	Scenario      string   `json:"scenario"`
	Seed          uint64   `json:"seed"`
	Dispatchers   int      `json:"dispatchers"`
	Hosts         int      `json:"hosts"`
	Jobs          int      `json:"jobs"`
	Asked         float64  `json:"asked"`
	InTime        float64  `json:"in_time"`
	Service       float64  `json:"service"`
	Served        int      `json:"served"`
	Tries         int      `json:"tries"` // attempts of clients
	Refused       int      `json:"refused"`
	Failed        int      `json:"failed"`
	GaveUp        int      `json:"gave_up"`
	LeftWaiting   int      `json:"left_waiting"`    // of these, before any host had their jobs
	SentForNobody int      `json:"sent_for_nobody"` // of those, sent to a host more than cancelGrace later
	Followed      int      `json:"followed"`        // attempts made after the time given by Retry-After
	Kept          int      `json:"kept"`            // of these, served
	Unreached     int      `json:"unreached"`       // no dispatcher was available
	Excused       int      `json:"excused"`         // unanswered while a trouble affected the dispatcher or the link to it
	Lost          int      `json:"lost"`            // unanswered otherwise
	Sends         int      `json:"sends"`           // jobs received by hosts
	Turned        int      `json:"turned_away"`
	TriesAJob     float64  `json:"tries_a_job"` // sends to hosts per job
	ProbesASecond float64  `json:"probes_a_second"`
	RefusalP50    float64  `json:"refusal_p50_ms"`
	RefusalP99    float64  `json:"refusal_p99_ms"`
	Fallen        int      `json:"fallen"`
	Crashes       int      `json:"crashes"`
	Work          Use      `json:"work"`
	Dealt         []int    `json:"dealt"`          // attempts by dispatcher
	Used          float64  `json:"used,omitempty"` // share of the first tenant's quota used in the second half of the run
	Checked       int      `json:"checked"`
	Breaches      []string `json:"breaches,omitempty"`
	Seconds       []Second `json:"seconds"`
	Log           []string `json:"log,omitempty"` // of dispatchers: panics and errors
}

// JSON writes the report as one line.
func (r *Report) JSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// Print writes the report as readable text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d: %d dispatchers, %d hosts\n", r.Scenario, r.Seed, r.Dispatchers, r.Hosts)
	fmt.Fprintf(w, "  service %.3f; %d jobs in %d tries: %d served, %d refused (p50 %.0f ms, p99 %.0f ms), %d failed, %d left early, %d excused, %d lost, %d unreached\n",
		r.Service, r.Jobs, r.Tries, r.Served, r.Refused, r.RefusalP50, r.RefusalP99, r.Failed, r.GaveUp, r.Excused, r.Lost, r.Unreached)
	fmt.Fprintf(w, "  hosts: %.2f sends a job, %d turned away, %.1f probes a host and second, %d connections, %d fell over\n", r.TriesAJob, r.Turned,
		r.ProbesASecond, r.Work.Handshakes, r.Fallen)
	fmt.Fprintf(w, "  of what they could do: %.3f in time, %.3f late, %.3f abandoned, %.3f repeated\n", r.Work.InTime, r.Work.Late,
		r.Work.Abandoned, r.Work.Repeated)
	if r.LeftWaiting > 0 {
		fmt.Fprintf(w, "  %d clients left while their jobs waited, %d of these were sent on later\n", r.LeftWaiting, r.SentForNobody)
	}
	if r.Followed > 0 {
		fmt.Fprintf(w, "  %d tries came when they were told to, %.2f of them were served\n", r.Followed, float64(r.Kept)/float64(r.Followed))
	}
	if r.Used > 0 {
		fmt.Fprintf(w, "  %.3f of the first tenant's quota used in the second half\n", r.Used)
	}
	fmt.Fprintf(w, "  %d tries checked, %d rules broken, %d crashes\n", r.Checked, len(r.Breaches), r.Crashes)
	for _, b := range r.Breaches {
		fmt.Fprintln(w, "   ", b)
	}
	for _, l := range r.Log {
		fmt.Fprintln(w, "    log:", l)
	}
}

// Missed returns the scenario's expectations that were not met, and the rules that were broken.
func (sc *Scenario) Missed(r *Report) (all []string) {
	if n := len(r.Breaches); n > 0 {
		all = append(all, fmt.Sprintf("%d rules broken, the first: %s", n, r.Breaches[0]))
	}
	if r.Crashes > 0 {
		all = append(all, fmt.Sprintf("%d crashes", r.Crashes))
	}
	e := sc.Expect
	if e == nil {
		return all
	}
	if r.Service < e.Service {
		all = append(all, fmt.Sprintf("service %.3f, %.3f was expected", r.Service, e.Service))
	}
	if e.Tries > 0 && r.TriesAJob > e.Tries {
		all = append(all, fmt.Sprintf("%.2f sends a job, %.2f at most were expected", r.TriesAJob, e.Tries))
	}
	if r.Used < e.Used {
		all = append(all, fmt.Sprintf("%.3f of the quota used, %.3f was expected", r.Used, e.Used))
	}
	if e.Probes > 0 && r.ProbesASecond > e.Probes {
		all = append(all, fmt.Sprintf("%.1f probes a host and second, %.1f at most were expected", r.ProbesASecond, e.Probes))
	}
	return all
}
