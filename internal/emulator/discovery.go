package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// View opens another discovery server. Its list contains the address that dial returns for each host number, so that its clients
// reach the hosts through addresses of their own.
func (f *Fleet) View(dial func(host int) string) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("emulator: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) { f.serveList(w, r, dial) })
	s := &http.Server{Handler: mux}
	f.mu.Lock()
	f.discoveryServers = append(f.discoveryServers, s)
	f.mu.Unlock()
	f.serving.Go(func() { s.Serve(ln) })
	return ln.Addr().String(), nil
}

// notifyWatches advances the sequence number of the list and wakes all watches.
func (f *Fleet) notifyWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	close(f.changed)
	f.changed = make(chan struct{})
}

// Down takes discovery down or brings it back up. While it is down, watches end and requests fail.
func (f *Fleet) Down(down bool) {
	f.mu.Lock()
	f.discoveryDown = down
	f.mu.Unlock()
	f.notifyWatches()
}

// List returns the complete current list of discovery as JSON.
func (f *Fleet) List() []byte { return f.ListFor(f.ownAddr) }

// ownAddr returns the address on which a host listens.
func (f *Fleet) ownAddr(host int) string { return f.Hosts[host].Addr }

// ListFor returns the list as a View with these addresses serves it.
func (f *Fleet) ListFor(dial func(host int) string) []byte {
	f.mu.Lock()
	seq := f.seq
	f.mu.Unlock()
	return f.listJSON(seq, dial)
}

// listJSON returns the complete list as JSON, without terminated hosts.
func (f *Fleet) listJSON(seq uint64, dial func(int) string) []byte {
	type entry struct {
		Host   string  `json:"host"`
		Dial   string  `json:"dial"`
		Site   string  `json:"site"`
		Class  string  `json:"class"`
		Block  int     `json:"block"`
		Health string  `json:"health"`
		Share  float64 `json:"share"`
		Born   int64   `json:"born_ms"`
	}
	list := struct {
		Seq   uint64  `json:"seq"`
		Whole bool    `json:"whole"`
		Hosts []entry `json:"hosts"`
	}{seq, true, []entry{}}
	for i, h := range f.Hosts {
		h.mu.Lock()
		e := entry{Host: h.Name, Dial: dial(i), Site: f.sites[i], Class: f.kinds[i], Health: h.state,
			Share: float64(h.model.Lanes) * h.model.Speed}
		if b := h.model.Born(); b > 0 {
			e.Born = f.start.Add(b).UnixMilli()
		}
		h.mu.Unlock()
		if e.Health != "terminated" {
			list.Hosts = append(list.Hosts, e)
		}
	}
	text, err := json.Marshal(&list)
	if err != nil {
		panic(err) // not reached: the list holds only strings and numbers made in this package
	}
	return text
}

// serveList serves discovery: the complete list once, or a watch that sends it at each change and an empty line after 2 s without one.
func (f *Fleet) serveList(w http.ResponseWriter, r *http.Request, dial func(int) string) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	stream := r.URL.Query().Get("stream") == "1"
	flush := http.NewResponseController(w)
	for begun := false; ; begun = true {
		f.mu.Lock()
		seq, changed, down := f.seq, f.changed, f.discoveryDown
		f.mu.Unlock()
		if down && begun { // a running watch ends without an error status
			return
		}
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if seq > index || !stream {
			index = seq
			w.Write(append(f.listJSON(seq, dial), '\n'))
		}
		if !stream || flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}
