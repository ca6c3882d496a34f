package hollow

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const pageTokenPrefix = "p-"

// PlatformSettings describe a platform. With a zero RatePerS it accepts every call; a zero PageSize is 50.
type PlatformSettings struct {
	Lag      time.Duration // the list trails by this much
	RatePerS float64
	PageSize int
}

// Platform is the list of a world's workers, an http.Handler.
type Platform struct {
	world    *World
	settings PlatformSettings
	server   *server

	entries    []*listEntry // by the worker's number, as of Lag ago; nil for those not on the list
	tokens     float64
	refilledAt time.Duration
}

// listEntry is one worker on the list.
type listEntry struct {
	Backend         string        `json:"backend"`
	Address         string        `json:"address"`
	Zone            string        `json:"zone"`
	Version         string        `json:"version"`
	Capacity        int           `json:"capacity"`
	State           string        `json:"state"`
	ColdRemainingMs int64         `json:"coldRemainingMs"`
	RemainingMs     int64         `json:"remainingMs,omitempty"`
	Allocatable     listResources `json:"allocatable"`
	Labels          []string      `json:"labels"`
	ID              string        `json:"id"`
	leavesAt        time.Duration
}

type listResources struct {
	CPU      int `json:"cpu"`
	MemoryMB int `json:"memMb"`
	GPUs     int `json:"gpus"`
}

type listAnswer struct {
	Instances     []listEntry `json:"instances"`
	NextPageToken *string     `json:"nextPageToken"`
}

// NewPlatform adds a list of the world's workers.
func (world *World) NewPlatform(settings PlatformSettings) *Platform {
	world.lock()
	defer world.unlock()
	if settings.PageSize <= 0 {
		settings.PageSize = 50
	}
	platform := &Platform{world: world, settings: settings, tokens: settings.RatePerS, refilledAt: world.now}
	for _, worker := range world.workers {
		platform.setEntry(worker.number, worker.publishedEntry())
	}
	world.platforms = append(world.platforms, platform)
	return platform
}

// publish has every list show the worker, after its lag, as it is now.
func (worker *Worker) publish() {
	entry := worker.publishedEntry()
	for _, platform := range worker.world.platforms {
		if platform.settings.Lag <= 0 {
			platform.setEntry(worker.number, entry)
			continue
		}
		worker.world.after(platform.settings.Lag, func() { platform.setEntry(worker.number, entry) })
	}
}

// setEntry puts a worker's entry on the list; nil takes it away.
func (platform *Platform) setEntry(number int, entry *listEntry) {
	if missing := number + 1 - len(platform.entries); missing > 0 {
		platform.entries = append(platform.entries, make([]*listEntry, missing)...)
	}
	platform.entries[number] = entry
}

// publishedEntry is the worker's entry, nil if it is gone or listens nowhere; one that is down still shows its last life.
func (worker *Worker) publishedEntry() *listEntry {
	if worker.state == workerGone || worker.address == "" {
		return nil
	}
	entry := worker.listEntry()
	return &entry
}

func (worker *Worker) listEntry() listEntry {
	allocatable := worker.settings.Allocatable
	entry := listEntry{
		Backend:     worker.settings.Backend,
		Address:     worker.address,
		Zone:        worker.settings.Zone,
		Version:     worker.settings.Version,
		Capacity:    worker.settings.Capacity,
		State:       "ready",
		Allocatable: listResources(allocatable),
		Labels:      worker.labels(),
		ID:          worker.instance,
	}
	if worker.state == workerDraining {
		entry.State = "draining"
		entry.leavesAt = worker.leavesAt
	}
	return entry
}

// ServeHTTP implements the platform's side of the wire.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodGet || request.URL.Path != "/instances" {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	query := request.URL.Query()
	page, status := platform.page(query.Get("zone"), query.Get("pageToken"))
	if status != http.StatusOK {
		writer.WriteHeader(status)
		return
	}
	data, err := json.Marshal(page)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Write(data)
}

func (platform *Platform) page(zone, token string) (listAnswer, int) {
	world := platform.world
	world.lock()
	defer world.unlock()
	world.stats.ListCalls++
	if !platform.takeToken() {
		world.stats.ListRejected++
		return listAnswer{}, http.StatusTooManyRequests
	}
	entries := platform.entriesInZone(zone)
	first, err := strconv.Atoi(strings.TrimPrefix(token, pageTokenPrefix))
	if token == "" {
		first, err = 0, nil
	}
	if err != nil || first < 0 {
		return listAnswer{}, http.StatusBadRequest
	}
	first = min(first, len(entries))
	end := min(first+platform.settings.PageSize, len(entries))
	page := listAnswer{Instances: entries[first:end]}
	if end < len(entries) {
		next := pageTokenPrefix + strconv.Itoa(end)
		page.NextPageToken = &next
	}
	return page, http.StatusOK
}

// entriesInZone returns a copy of the list, with the times that drain as of now.
func (platform *Platform) entriesInZone(zone string) []listEntry {
	entries := make([]listEntry, 0, len(platform.entries))
	for _, shown := range platform.entries {
		if shown == nil || zone != "" && shown.Zone != zone {
			continue
		}
		entry := *shown
		if entry.leavesAt > 0 {
			entry.RemainingMs = max((entry.leavesAt - platform.world.now).Milliseconds(), 0)
		}
		entries = append(entries, entry)
	}
	return entries
}

// takeToken tells whether the rate allows one more call.
func (platform *Platform) takeToken() bool {
	rate := platform.settings.RatePerS
	if rate <= 0 {
		return true
	}
	now := platform.world.now
	platform.tokens = min(platform.tokens+(now-platform.refilledAt).Seconds()*rate, rate)
	platform.refilledAt = now
	if platform.tokens < 1 {
		return false
	}
	platform.tokens--
	return true
}
