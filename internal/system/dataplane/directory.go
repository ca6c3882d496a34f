package dataplane

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/clusterconfig"
)

// Configuration is one configuration in use: as it came, and as routes are found in it.
type Configuration struct {
	Version uint64
	// Body is never changed.
	Body   []byte
	Router *clusterconfig.Router
}

// Directory is what a dispatcher has learnt: the newest view of the chain, the newest configuration, and when the core was last
// seen to serve. View and configuration never go back. It is safe for concurrent use.
type Directory struct {
	mutex       sync.Mutex
	viewChanged chan struct{}
	// rejectedVersion is the newest version whose body couldn't be used.
	rejectedVersion uint64
	changes         chan struct{}
	// configured is closed once there is a configuration.
	configured chan struct{}

	view   atomic.Pointer[view.View]
	config atomic.Pointer[Configuration]
	// seen is the last sign of a serving core, in nanoseconds after started and one more; 0 means none. lastHeadContact is that of the
	// head itself, or the moment at which it was learnt who is.
	started         time.Time
	lastContact     atomic.Int64
	lastHeadContact atomic.Int64
	// lastCurrent is when a serving replica last knew of no configuration that isn't known here, like seen.
	lastCurrent atomic.Int64
}

// NewDirectory is a directory that knows nothing.
func NewDirectory() *Directory {
	d := &Directory{
		viewChanged: make(chan struct{}),
		changes:     make(chan struct{}, 1),
		configured:  make(chan struct{}),
		started:     time.Now(),
	}
	d.view.Store(&view.View{})
	return d
}

// Changes gets a value after each change, or after several, for one reader.
func (d *Directory) Changes() <-chan struct{} { return d.changes }

// View is the newest view; without voters it is unknown. Nobody may change it.
func (d *Directory) View() *view.View { return d.view.Load() }

// Watch gives the newest view, and a channel that is closed once there is a newer one.
func (d *Directory) Watch() (*view.View, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.Load(), d.viewChanged
}

// Config is the newest configuration; nil while there is none. Nobody may change it.
func (d *Directory) Config() *Configuration { return d.config.Load() }

// ConfigVersion is the newest configuration's version, 0 while there is none.
func (d *Directory) ConfigVersion() uint64 {
	config := d.config.Load()
	if config == nil {
		return 0
	}
	return config.Version
}

// LearnView takes a view in if it is newer than the one known, and tells whether it was.
func (d *Directory) LearnView(newest view.View) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before := d.view.Load()
	if !newest.Known() || (before.Known() && newest.Epoch <= before.Epoch) {
		return false
	}
	d.view.Store(&newest)
	d.lastHeadContact.Store(d.now())
	close(d.viewChanged)
	d.viewChanged = make(chan struct{})
	d.notify()
	return true
}

// LearnConfig takes a configuration in if it is newer than the one in force, and tells whether it was. A body that can't be
// used is an error once; it changes nothing.
func (d *Directory) LearnConfig(version uint64, body []byte) (bool, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version <= d.ConfigVersion() || version == d.rejectedVersion {
		return false, nil
	}
	parsed, err := clusterconfig.Parse(body)
	if err == nil && uint64(parsed.Version) != version {
		err = fmt.Errorf("the body says %d", parsed.Version)
	}
	if err != nil {
		d.rejectedVersion = version
		return false, fmt.Errorf("configuration %d: %w", version, err)
	}
	first := d.config.Swap(&Configuration{Version: version, Body: body, Router: clusterconfig.NewRouter(parsed)}) == nil
	if first {
		close(d.configured)
	}
	d.notify()
	return true, nil
}

func (d *Directory) notify() {
	select {
	case d.changes <- struct{}{}:
	default:
	}
}

// RecordContact takes note that a replica which serves has just answered.
func (d *Directory) RecordContact() { d.lastContact.Store(d.now()) }

// Reachable tells whether a replica that serves was heard of within that time.
func (d *Directory) Reachable(within time.Duration) bool {
	return d.since(d.lastContact.Load()) < within
}

// MayBeReachable is Reachable for a process that has just started besides: it hasn't had that time to hear of one yet.
func (d *Directory) MayBeReachable(within time.Duration) bool {
	return d.Reachable(within) || time.Since(d.started) < within
}

// Configured is closed once there is a configuration.
func (d *Directory) Configured() <-chan struct{} { return d.configured }

// RecordCurrent takes note that a replica which serves has just answered that it knows no configuration newer than this version.
func (d *Directory) RecordCurrent(version uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version <= d.ConfigVersion() || version == d.rejectedVersion {
		d.lastCurrent.Store(d.now())
	}
}

// UpToDate tells whether the configuration in force was the newest of a replica that serves, within that time.
func (d *Directory) UpToDate(within time.Duration) bool {
	return d.since(d.lastCurrent.Load()) < within
}

// everUpToDate tells whether it ever was in the life of this process.
func (d *Directory) everUpToDate() bool { return d.lastCurrent.Load() != 0 }

// RecordReply takes note that the replica at the address has just answered.
func (d *Directory) RecordReply(address string) {
	if address == d.View().Head().Address {
		d.lastHeadContact.Store(d.now())
	}
}

// HeadReachable tells whether the head has answered within that time, or wasn't known before.
func (d *Directory) HeadReachable(within time.Duration) bool {
	return d.View().Head().Address != "" && d.since(d.lastHeadContact.Load()) < within
}

func (d *Directory) now() int64 { return int64(time.Since(d.started)) + 1 }

func (d *Directory) since(timestamp int64) time.Duration {
	if timestamp == 0 {
		return math.MaxInt64
	}
	return time.Duration(d.now() - timestamp)
}
