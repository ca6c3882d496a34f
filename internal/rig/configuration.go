package rig

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// writeConfig writes a dispatcher's configuration file atomically.
func (r *rig) writeConfig(n *node, incarnation int) error {
	disc := n.discovery[0]
	r.mu.Lock()
	if n.usesSecondDiscovery {
		disc = n.discovery[1]
	}
	r.mu.Unlock()
	text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", n.number), "listen": n.listen, "discovery": disc.Addr,
		"seed":   fmt.Sprintf("%x", r.seed<<24+uint64(n.number)<<8+uint64(incarnation)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  json.RawMessage(r.fleet.ListFor(func(h int) string { return n.hosts[h].Addr })), "settings": r.settings(n.number)})
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	path := filepath.Join(r.dir, fmt.Sprint("n", n.number), "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return os.Rename(path+".new", path)
}

// settings returns a dispatcher's settings in the platform's form.
func (r *rig) settings(i int) map[string]any {
	type m = map[string]any
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	var rooms, kinds []string
	for k := range r.sc.Rooms {
		rooms = append(rooms, room(k))
	}
	for _, h := range r.sc.Hosts {
		kinds = append(kinds, h.Kind)
	}
	var profiles []m
	var stretch []float64
	for _, c := range r.sc.Classes {
		effect := "retryable"
		if c.Once {
			effect = "fragile"
		}
		profiles = append(profiles, m{"credit": c.Worth, "deadline": ms(c.Wait), "effect": effect, "name": c.Name, "on-time": ms(c.Aim)})
		stretch = append(stretch, c.Stretch)
	}
	var accounts []m
	for _, t := range r.sc.Tenants {
		accounts = append(accounts, m{"name": t.Name, "quota-per-s": t.Quota})
	}
	p := r.params()
	return m{"accounts": accounts, "family-info": m{"class-stretch": stretch, "report-x0": "free slots", "tells-start": true, "progress": ms(p.Progress)},
		"kinds": kinds, "localities": rooms, "locality": room(i % r.sc.Rooms), "ordinal": i, "replicas-of-me": r.sc.Dispatchers,
		"limits": m{"cancel": true, "conn-idle": 30000.0, "connect-timeout": 250.0, "max-attempts": 6, "max-retry-after": ms(maxRetryAfter),
			"most-held": 20000, "probes": true, "retry-after": true},
		"prices": m{"probe": 0.002, "waste": 0.02, "cross-zone": 0.018}, "profiles": profiles, "registry-mode": "ask",
		"report": m{"fields": []string{"q", "rif", "x0"}, "how": "pull"}, "value-by": "work",
		"rules": m{"cold-from": p.ColdFrom, "warm-up": ms(p.WarmUp), "tip-multiple": p.TipMultiple, "overload-for": ms(p.OverloadFor),
			"drain-grace": 3000.0}}
}
