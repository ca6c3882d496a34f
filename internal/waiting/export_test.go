package waiting

import "math"

// The rules that were weighed against the one in use, for weigh_test.go.
var rules = map[string]func(share, lanes float64) func(p *pacer, most float64) (float64, int){
	"by need": func(float64, float64) func(*pacer, float64) (float64, int) { return byNeed },
	// All that are ready have their turn, the oldest claim first.
	"strict ageing": func(float64, float64) func(*pacer, float64) (float64, int) {
		return func(p *pacer, _ float64) (float64, int) {
			p.extra = math.Inf(1)
			return math.Inf(1), math.MaxInt32
		}
	},
	// A share of the lanes, whatever is due when.
	"reserved share": func(share, lanes float64) func(*pacer, float64) (float64, int) {
		w := max(1, share*lanes)
		return func(p *pacer, _ float64) (float64, int) {
			p.extra = w
			return w, int(w)
		}
	},
	// Start-time fair queueing (Goyal, Vin and Cheng, 1996) of two flows by weight, a job being one unit.
	"virtual time": func(share, _ float64) func(*pacer, float64) (float64, int) {
		return func(p *pacer, _ float64) (float64, int) {
			owed := float64(p.sentFresh)*share/(1-share) - float64(p.sent)
			w := max(1, float64(p.in)+math.Ceil(owed))
			p.extra = w
			return w, int(w)
		}
	},
}

// Rules names them.
var Rules = []string{"by need", "strict ageing", "reserved share", "virtual time"}

// SetRule makes a Room pace by one of Rules.
func (r *Queue) SetRule(name string, share, lanes float64) { r.rule = rules[name](share, lanes) }
