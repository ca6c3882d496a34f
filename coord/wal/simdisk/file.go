package simdisk

import (
	"slices"

	"gaugeslip/coord/wal"
)

// inode is a file apart from its names: what reads see, what lasts, and the changes in between.
type inode struct {
	content []byte
	lasting []byte
	changes []contentChange
}

// contentChange is a write, or a cut to no length, that doesn't last yet.
type contentChange struct {
	cut    bool
	offset int
	data   []byte
}

func (f *inode) append(data []byte) {
	f.changes = append(f.changes, contentChange{offset: len(f.content), data: slices.Clone(data)})
	f.content = append(f.content, data...)
}

func (f *inode) truncate() {
	f.changes = append(f.changes, contentChange{cut: true})
	f.content = nil
}

func (f *inode) sync() {
	f.lasting = slices.Clone(f.content)
	f.changes = nil
}

// put writes data at an offset; a gap before it is filled with zeros.
func (f *inode) put(offset int, data []byte) {
	if end := offset + len(data); end > len(f.lasting) {
		f.lasting = append(f.lasting, make([]byte, end-len(f.lasting))...)
	}
	copy(f.lasting[offset:], data)
}

// settleContents decides at a loss of power what is left of the writes. Names are settled before.
func (d *Disk) settleContents(loseAll bool) {
	names := make([]string, 0, len(d.live))
	for name := range d.live {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		d.settleFile(d.live[name], loseAll)
	}
}

func (d *Disk) settleFile(file *inode, loseAll bool) {
	for _, change := range file.changes {
		if !loseAll {
			d.settleChange(file, change)
		}
	}
	file.changes = nil
	file.content = slices.Clone(file.lasting)
}

// settleChange keeps, loses or tears one write.
func (d *Disk) settleChange(file *inode, change contentChange) {
	const (
		kept = iota
		torn
		lost
		outcomes
	)
	outcome := d.random.IntN(outcomes)
	switch {
	case outcome == lost:
	case change.cut:
		file.lasting = nil
	case outcome == kept:
		file.put(change.offset, change.data)
	default:
		d.putTorn(file, change)
	}
}

// putTorn writes the first or the last part of a write, or the first part and zeros in place of the rest.
func (d *Disk) putTorn(file *inode, change contentChange) {
	cut := d.random.IntN(len(change.data) + 1)
	switch d.random.IntN(3) {
	case 0:
		file.put(change.offset, change.data[:cut])
	case 1:
		file.put(change.offset+cut, change.data[cut:])
	default:
		zeroed := slices.Clone(change.data)
		clear(zeroed[cut:])
		file.put(change.offset, zeroed)
	}
}

// handle is an open file.
type handle struct {
	disk *Disk
	file *inode
	life int
}

var _ wal.File = (*handle)(nil)

func (h *handle) alive() bool {
	return h.life == h.disk.life
}

// Write implements wal.File.
func (h *handle) Write(data []byte) (int, error) {
	d := h.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if !h.alive() || d.stopIn == stopped {
		return 0, ErrNoPower
	}
	if !d.powered() {
		return 0, d.partly(h.file, data, ErrNoPower)
	}
	if d.happens(d.faults.Write) {
		return 0, d.partly(h.file, data, ErrStalled)
	}
	if room := d.capacity - d.usedBytes(); d.capacity >= 0 && len(data) > room {
		room = max(room, 0)
		h.file.append(data[:room])
		return room, ErrNoSpace
	}
	h.file.append(data)
	return len(data), nil
}

// partly appends a part of the data, from nothing to all of it.
func (d *Disk) partly(file *inode, data []byte, err error) error {
	file.append(data[:d.random.IntN(len(data)+1)])
	return err
}

// Sync implements wal.File.
func (h *handle) Sync() error {
	d := h.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if !h.alive() || !d.powered() {
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
