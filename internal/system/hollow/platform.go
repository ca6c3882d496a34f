package hollow

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const pageTokenPrefix = "p-"

// PlatformSettings describe a platform. If RatePerS is 0, it accepts every call. A PageSize of 0 means 50.
type PlatformSettings struct {
	Lag      time.Duration // delay of changes in the list
	RatePerS float64
	PageSize int
}

// Platform lists the workers of a world. It is an http.Handler.
type Platform struct {
	world    *World
	settings PlatformSettings
	server   *server

	entries    []*listEntry // by worker number, as of Lag ago; nil for workers not listed
	tokens     float64
	refilledAt time.Duration
}

// listEntry is one worker in the list.
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

// NewPlatform adds a platform that lists the world's workers.
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

// publish updates the worker's entry in every platform's list, after the platform's lag.
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

// setEntry sets a worker's entry in the list; nil removes it.
func (platform *Platform) setEntry(number int, entry *listEntry) {
	if missing := number + 1 - len(platform.entries); missing > 0 {
		platform.entries = append(platform.entries, make([]*listEntry, missing)...)
	}
	platform.entries[number] = entry
}

// publishedEntry returns the worker's entry, or nil if the worker is gone or has no address. A worker that is down still shows its last
// instance.
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

// ServeHTTP implements the platform's side of the protocol.
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

// entriesInZone returns a copy of the entries in a zone, or of all if zone is empty, with the remaining drain times as of now.
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

// takeToken reports whether the rate limit allows one more call.
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
