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

// Configuration is a cluster configuration in use, with its source text and its router.
type Configuration struct {
	Version uint64
	// Body is the configuration as received. It must not be modified.
	Body   []byte
	Router *clusterconfig.Router
}

// Directory holds what a dispatcher knows about the cluster: the newest view of the chain, the newest configuration and the last
// contact with a serving replica. View and configuration never go back to older ones. It is safe for concurrent use.
type Directory struct {
	mutex       sync.Mutex
	viewChanged chan struct{}
	// rejectedVersion is the newest version whose body was invalid.
	rejectedVersion uint64
	changes         chan struct{}
	// configured is closed when the first configuration is known.
	configured chan struct{}

	view   atomic.Pointer[view.View]
	config atomic.Pointer[Configuration]
	// contactAt is the time of the last reply from a serving replica, in nanoseconds after started, plus one; 0 means never.
	// headContactAt is the same for the head; it is also set when a new view names the head.
	started       time.Time
	contactAt     atomic.Int64
	headContactAt atomic.Int64
	// currentAt is when a serving replica last reported no configuration newer than the one known here, in the format of
	// contactAt.
	currentAt atomic.Int64
}

// NewDirectory returns an empty directory.
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

// Changes receives a value after one or more changes. It supports a single reader.
func (d *Directory) Changes() <-chan struct{} { return d.changes }

// View returns the newest view, which has no voters while it is unknown. The caller must not modify it.
func (d *Directory) View() *view.View { return d.view.Load() }

// Watch returns the newest view and a channel that is closed when a newer view is known.
func (d *Directory) Watch() (*view.View, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.Load(), d.viewChanged
}

// Config returns the newest configuration, or nil if there is none yet. The caller must not modify it.
func (d *Directory) Config() *Configuration { return d.config.Load() }

// ConfigVersion returns the version of the newest configuration, or 0 if there is none yet.
func (d *Directory) ConfigVersion() uint64 {
	config := d.config.Load()
	if config == nil {
		return 0
	}
	return config.Version
}

// LearnView stores a view if it is newer than the known one, and reports whether it was.
func (d *Directory) LearnView(newest view.View) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before := d.view.Load()
	if !newest.Known() || (before.Known() && newest.Epoch <= before.Epoch) {
		return false
	}
	d.view.Store(&newest)
	d.headContactAt.Store(d.now())
	close(d.viewChanged)
	d.viewChanged = make(chan struct{})
	d.notify()
	return true
}

// LearnConfig stores a configuration if it is newer than the one in use, and reports whether it was. An invalid body changes
// nothing; it returns an error the first time and is ignored afterwards.
func (d *Directory) LearnConfig(version uint64, body []byte) (bool, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version <= d.ConfigVersion() || version == d.rejectedVersion {
		return false, nil
	}
	parsed, err := clusterconfig.Parse(body)
	if err == nil && uint64(parsed.Version) != version {
		err = fmt.Errorf("the body states version %d", parsed.Version)
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

// RecordContact records that a serving replica has just replied.
func (d *Directory) RecordContact() { d.contactAt.Store(d.now()) }

// Reachable reports whether a serving replica has replied within the given time.
func (d *Directory) Reachable(within time.Duration) bool { return d.since(d.contactAt.Load()) < within }

// MayBeReachable is like Reachable, but also returns true while the process has been running for less than the given time,
// because it may not have contacted a replica yet.
func (d *Directory) MayBeReachable(within time.Duration) bool {
	return d.Reachable(within) || time.Since(d.started) < within
}

// Configured returns a channel that is closed when the first configuration is known.
func (d *Directory) Configured() <-chan struct{} { return d.configured }

// RecordCurrent records that a serving replica has just reported the given version as its newest configuration. It has no effect
// if that version is newer than the known one, unless its body was rejected as invalid.
func (d *Directory) RecordCurrent(version uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version <= d.ConfigVersion() || version == d.rejectedVersion {
		d.currentAt.Store(d.now())
	}
}

// UpToDate reports whether a serving replica has confirmed within the given time that the configuration in use is the newest.
func (d *Directory) UpToDate(within time.Duration) bool { return d.since(d.currentAt.Load()) < within }

// everUpToDate reports whether the configuration has been confirmed as the newest since the process started.
func (d *Directory) everUpToDate() bool { return d.currentAt.Load() != 0 }

// RecordReply records that the replica at the address has just replied.
func (d *Directory) RecordReply(address string) {
	if address == d.View().Head().Address {
		d.headContactAt.Store(d.now())
	}
}

// HeadReachable reports whether the head has replied, or has become known, within the given time.
func (d *Directory) HeadReachable(within time.Duration) bool {
	return d.View().Head().Address != "" && d.since(d.headContactAt.Load()) < within
}

func (d *Directory) now() int64 { return int64(time.Since(d.started)) + 1 }

func (d *Directory) since(timestamp int64) time.Duration {
	if timestamp == 0 {
		return math.MaxInt64
	}
	return time.Duration(d.now() - timestamp)
}
