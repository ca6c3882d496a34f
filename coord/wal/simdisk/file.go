package simdisk

import (
	"slices"

	"gaugeslip/coord/wal"
)

// inode is a file without its names: the content that reads see, the durable content, and the changes between the two.
type inode struct {
	content []byte
	durable []byte
	changes []contentChange
}

// contentChange is a write, or a truncation to length 0, that is not durable yet.
type contentChange struct {
	truncate bool
	offset   int
	data     []byte
}

func (f *inode) append(data []byte) {
	f.changes = append(f.changes, contentChange{offset: len(f.content), data: slices.Clone(data)})
	f.content = append(f.content, data...)
}

func (f *inode) truncate() {
	f.changes = append(f.changes, contentChange{truncate: true})
	f.content = nil
}

func (f *inode) sync() {
	f.durable = slices.Clone(f.content)
	f.changes = nil
}

// writeDurable writes data to the durable content at an offset. A gap before it is filled with zeros.
func (f *inode) writeDurable(offset int, data []byte) {
	if end := offset + len(data); end > len(f.durable) {
		f.durable = append(f.durable, make([]byte, end-len(f.durable))...)
	}
	copy(f.durable[offset:], data)
}

// resolveContents decides at a loss of power which unsynced writes are kept. The names must be resolved before.
func (d *Disk) resolveContents(loseAll bool) {
	names := make([]string, 0, len(d.live))
	for name := range d.live {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		d.resolveFile(d.live[name], loseAll)
	}
}

func (d *Disk) resolveFile(file *inode, loseAll bool) {
	for _, change := range file.changes {
		if !loseAll {
			d.resolveWrite(file, change)
		}
	}
	file.changes = nil
	file.content = slices.Clone(file.durable)
}

// resolveWrite keeps, loses or tears one unsynced change.
func (d *Disk) resolveWrite(file *inode, change contentChange) {
	const (
		kept = iota
		torn
		lost
		outcomes
	)
	outcome := d.random.IntN(outcomes)
	switch {
	case outcome == lost:
	case change.truncate:
		file.durable = nil
	case outcome == kept:
		file.writeDurable(change.offset, change.data)
	default:
		d.writeTorn(file, change)
	}
}

// writeTorn applies the first or the last part of a write, or the first part with zeros in place of the rest.
func (d *Disk) writeTorn(file *inode, change contentChange) {
	cut := d.random.IntN(len(change.data) + 1)
	switch d.random.IntN(3) {
	case 0:
		file.writeDurable(change.offset, change.data[:cut])
	case 1:
		file.writeDurable(change.offset+cut, change.data[cut:])
	default:
		zeroed := slices.Clone(change.data)
		clear(zeroed[cut:])
		file.writeDurable(change.offset, zeroed)
	}
}

// handle is an open file.
type handle struct {
	disk        *Disk
	file        *inode
	incarnation int
}

var _ wal.File = (*handle)(nil)

func (h *handle) alive() bool {
	return h.incarnation == h.disk.incarnation
}

// Write implements wal.File.
func (h *handle) Write(data []byte) (int, error) {
	d := h.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if !h.alive() || d.callsLeft == stopped {
		return 0, ErrNoPower
	}
	if !d.admitCall() {
		return 0, d.appendPart(h.file, data, ErrNoPower)
	}
	if d.happens(d.faults.Write) {
		return 0, d.appendPart(h.file, data, ErrStalled)
	}
	if room := d.capacity - d.usedBytes(); d.capacity >= 0 && len(data) > room {
		room = max(room, 0)
		h.file.append(data[:room])
		return room, ErrNoSpace
	}
	h.file.append(data)
	return len(data), nil
}

// appendPart appends a random prefix of the data, from nothing to all of it, and returns err.
func (d *Disk) appendPart(file *inode, data []byte, err error) error {
	file.append(data[:d.random.IntN(len(data)+1)])
	return err
}

// Sync implements wal.File.
func (h *handle) Sync() error {
	d := h.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if !h.alive() || !d.admitCall() {
		return ErrNoPower
	}
	failed := d.happens(d.faults.Sync)
	if failed && d.evenChance() {
		return ErrStalled
	}
	h.file.sync()
	d.syncNewName(h.file)
	if failed {
		return ErrStalled
	}
	return nil
}

// Close implements wal.File.
func (h *handle) Close() error {
	return nil
}
