package waiting

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"
)

// filled returns a queue with n jobs, each with a set time within the next hour.
func filled(tb testing.TB, n int) *Queue {
	lim := Defaults()
	lim.MaxJobs, lim.MaxKept, lim.ClientShare, lim.MaxBytes, lim.DefaultDue = 10_000_000, 10_000_000, 1, 1<<40, 55*time.Minute
	r := New(lim, Fleet{Replicas: 1, MaxAttempts: 6, Classes: []Class{{Name: "plot-load", Deadline: 8 * second}}})
	r.SetReadyHosts(1000)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		r.Submit(epoch, &Job{Number: uint64(i + 1), Name: fmt.Sprintf("%016x", i), Client: "c", Slots: 1,
			NotBefore: epoch + time.Duration(1+rng.IntN(3_600_000))*ms})
		r.Actions()
	}
	return r
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkBytesAJob measures the bytes per waiting job, its id included, with SIZE jobs (100,000 if unset).
func BenchmarkBytesAJob(b *testing.B) {
	n := size()
	for range b.N {
		before := heapBytes()
		r := filled(b, n)
		b.ReportMetric((heapBytes()-before)/float64(n), "B/job")
		runtime.KeepAlive(r)
	}
}

func size() int {
	if n, err := strconv.Atoi(os.Getenv("SIZE")); err == nil {
		return n
	}
	return 100_000
}

// BenchmarkSubmit measures the submission of one job among SIZE others.
func BenchmarkSubmit(b *testing.B) {
	r := filled(b, size())
	jobs := make([]Job, b.N)
	for i := range jobs {
		jobs[i] = Job{Number: uint64(1e9 + i), Name: fmt.Sprintf("n%015x", i), Client: "c", Slots: 1,
			NotBefore: epoch + time.Duration(1+i%3_600_000)*ms}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range jobs {
		r.Submit(epoch, &jobs[i])
		r.Actions()
	}
}

// BenchmarkRelease measures how SIZE jobs become ready and get their turns.
func BenchmarkRelease(b *testing.B) {
	for range b.N {
		b.StopTimer()
		r := filled(b, size())
		r.windowRule = func(*pacer, float64) (float64, int) { return 1e9, 1 << 30 }
		b.StartTimer()
		for now := epoch; r.pacer.turns < size() && now < epoch+2*time.Hour; now += 100 * ms {
			for more := true; more; {
				r.Tick(now)
				at, ok := r.Wake(now)
				more = ok && at <= now && len(r.Actions()) > 0
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size()), "ns/job")
	}
}

// BenchmarkEnd measures the send and end of a job that has its turn, among SIZE others.
func BenchmarkEnd(b *testing.B) {
	r := filled(b, size())
	for i := range b.N {
		r.Submit(epoch, &Job{Number: uint64(1e9 + i), Name: fmt.Sprintf("n%015x", i), Client: "c", Slots: 1})
	}
	r.windowRule = func(*pacer, float64) (float64, int) { return 1e9, 1 << 30 }
	for r.Stats().Released < b.N {
		r.Tick(epoch)
		r.Actions()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r.JobSent(epoch, uint64(1e9+i))
		r.SendEnded(epoch, uint64(1e9+i), OK, nil)
	}
}

// BenchmarkBacklog measures the longest Tick while SIZE jobs become ready at one time.
func BenchmarkBacklog(b *testing.B) {
	for range b.N {
		b.StopTimer()
		r := filled(b, size())
		now := epoch + time.Hour
		longest := time.Duration(0)
		b.StartTimer()
		for r.timers.len() > 0 {
			start := time.Now()
			r.Tick(now)
			r.Actions()
			longest = max(longest, time.Since(start))
		}
		start := time.Now() // a Tick that computes the demand of the whole backlog
		r.Tick(now + time.Minute)
		b.ReportMetric(float64(time.Since(start))/1e6, "ms/count")
		b.ReportMetric(float64(longest)/1e6, "ms/longest")
	}
}
