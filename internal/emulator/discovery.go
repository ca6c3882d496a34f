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

// View opens one more address of discovery. Its list has the address that dial gives for each host, by number: whoever asks
// there comes to the hosts by ways of its own.
func (f *Fleet) View(dial func(host int) string) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("emulator: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) { f.list(w, r, dial) })
	s := &http.Server{Handler: mux}
	f.mu.Lock()
	f.disc = append(f.disc, s)
	f.mu.Unlock()
	f.served.Go(func() { s.Serve(ln) })
	return ln.Addr().String(), nil
}

// change publishes a change of the list.
func (f *Fleet) change() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	close(f.changed)
	f.changed = make(chan struct{})
}

// Down takes discovery down, or brings it back: its watches end and its calls fail.
func (f *Fleet) Down(down bool) {
	f.mu.Lock()
	f.discDown = down
	f.mu.Unlock()
	f.change()
}

// List is discovery's whole list as it stands, as JSON.
func (f *Fleet) List() []byte { return f.ListFor(f.own) }

// own is a host's own address.
func (f *Fleet) own(host int) string { return f.Hosts[host].Addr }

// ListFor is the list as a View with these addresses tells it.
func (f *Fleet) ListFor(dial func(host int) string) []byte {
	f.mu.Lock()
	seq := f.seq
	f.mu.Unlock()
	return f.entries(seq, dial)
}

// entries is the whole list as JSON.
func (f *Fleet) entries(seq uint64, dial func(int) string) []byte {
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
		panic(err) // names and figures of our own
	}
	return text
}

// list serves discovery: the whole list, or a watch that sends it whole at each change, and an empty line every 2 s.
func (f *Fleet) list(w http.ResponseWriter, r *http.Request, dial func(int) string) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	stream := r.URL.Query().Get("stream") == "1"
	flush := http.NewResponseController(w)
	for begun := false; ; begun = true {
		f.mu.Lock()
		seq, changed, down := f.seq, f.changed, f.discDown
		f.mu.Unlock()
		if down && begun { // a watch just ends
			return
		}
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if seq > index || !stream {
			index = seq
			w.Write(append(f.entries(seq, dial), '\n'))
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
