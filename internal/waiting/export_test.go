package waiting

import "math"

// The rules that weigh_test.go compares with the one in use.
var rules = map[string]func(share, lanes float64) func(p *pacer, most float64) (float64, int){
	"by need": func(float64, float64) func(*pacer, float64) (float64, int) { return demandRule },
	// All ready jobs get their turn, the one with the earliest target time first.
	"strict ageing": func(float64, float64) func(*pacer, float64) (float64, int) {
		return func(p *pacer, _ float64) (float64, int) {
			p.adaptiveWindow = math.Inf(1)
			return math.Inf(1), math.MaxInt32
		}
	},
	// A fixed share of the lanes, whatever is due when.
	"reserved share": func(share, lanes float64) func(*pacer, float64) (float64, int) {
		w := max(1, share*lanes)
		return func(p *pacer, _ float64) (float64, int) {
			p.adaptiveWindow = w
			return w, int(w)
		}
	},
	// Start-time fair queueing (Goyal, Vin and Cheng, 1996) of two flows by weight, a job being one unit.
	"virtual time": func(share, _ float64) func(*pacer, float64) (float64, int) {
		return func(p *pacer, _ float64) (float64, int) {
			owed := float64(p.sentFresh)*share/(1-share) - float64(p.sent)
			w := max(1, float64(p.turns)+math.Ceil(owed))
			p.adaptiveWindow = w
			return w, int(w)
		}
	},
}

// Rules lists the names of the rules.
var Rules = []string{"by need", "strict ageing", "reserved share", "virtual time"}

// SetRule sets the rule by which the queue paces its jobs to one of Rules.
func (q *Queue) SetRule(name string, share, lanes float64) { q.windowRule = rules[name](share, lanes) }
