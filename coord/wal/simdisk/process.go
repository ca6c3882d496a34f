package simdisk

import (
	"fmt"
	"io/fs"
	"slices"

	"gaugeslip/coord/wal"
)

// process is the disk as seen by one incarnation of the process that uses it.
type process struct {
	disk        *Disk
	incarnation int
}

var _ wal.Disk = (*process)(nil)

// alive reports whether the process has not ended. The caller holds the disk's mu.
func (p *process) alive() bool { return p.incarnation == p.disk.incarnation }

// call runs one call of a process on the disk. It returns ErrNoPower if the process has ended or the disk has no power.
func call[T any](p *process, do func(d *Disk) (T, error)) (result T, err error) {
	d := p.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if !p.alive() || !d.admitCall() {
		return result, ErrNoPower
	}
	return do(d)
}

// change runs a call that returns only an error.
func (p *process) change(do func(d *Disk) error) error {
	_, err := call(p, func(d *Disk) (struct{}, error) { return struct{}{}, do(d) })
	return err
}

// List implements wal.Disk.
func (p *process) List() ([]string, error) {
	return call(p, func(d *Disk) ([]string, error) {
		names := make([]string, 0, len(d.live))
		for name := range d.live {
			names = append(names, name)
		}
		slices.Sort(names)
		return names, nil
	})
}

// ReadFile implements wal.Disk.
func (p *process) ReadFile(name string) ([]byte, error) {
	return call(p, func(d *Disk) ([]byte, error) {
		file, found := d.live[name]
		if !found {
			return nil, notExist("read", name)
		}
		return slices.Clone(file.content), nil
	})
}

// Create implements wal.Disk.
func (p *process) Create(name string) (wal.File, error) {
	return call(p, func(d *Disk) (wal.File, error) {
		file, found := d.live[name]
		if found {
			file.truncate()
		} else {
			file = &inode{}
			d.live[name] = file
			d.changes = append(d.changes, nameChange{kind: nameCreated, name: name, file: file})
		}
		return &handle{disk: d, file: file, incarnation: p.incarnation}, nil
	})
}

// OpenAppend implements wal.Disk.
func (p *process) OpenAppend(name string) (wal.File, error) {
	return call(p, func(d *Disk) (wal.File, error) {
		file, found := d.live[name]
		if !found {
			return nil, notExist("open", name)
		}
		return &handle{disk: d, file: file, incarnation: p.incarnation}, nil
	})
}

// Rename implements wal.Disk.
func (p *process) Rename(oldName, newName string) error {
	return p.change(func(d *Disk) error {
		file, found := d.live[oldName]
		if !found {
			return notExist("rename", oldName)
		}
		delete(d.live, oldName)
		d.live[newName] = file
		d.changes = append(d.changes, nameChange{kind: nameRenamed, name: oldName, newName: newName, file: file})
		return nil
	})
}

// Remove implements wal.Disk.
func (p *process) Remove(name string) error {
	return p.change(func(d *Disk) error {
		file, found := d.live[name]
		if !found {
			return notExist("remove", name)
		}
		delete(d.live, name)
		d.changes = append(d.changes, nameChange{kind: nameRemoved, name: name, file: file})
		return nil
	})
}

// SyncDir implements wal.Disk.
func (p *process) SyncDir() error {
	return p.change(func(d *Disk) error {
		failed := d.happens(d.faults.Folder)
		if !failed || d.evenChance() {
			d.syncNames()
		}
		if failed {
			return ErrStalled
		}
		return nil
	})
}

func notExist(operation, name string) error {
	return fmt.Errorf("%s %s: %w", operation, name, fs.ErrNotExist)
}
