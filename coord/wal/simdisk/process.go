package simdisk

import (
	"fmt"
	"io/fs"
	"slices"

	"gaugeslip/coord/wal"
)

// process is the disk in one life of the process that uses it.
type process struct {
	disk *Disk
	life int
}

var _ wal.Disk = (*process)(nil)

// alive tells whether the process hasn't ended. The caller holds the disk's mu.
func (p *process) alive() bool { return p.life == p.disk.life }

// call makes one call on the disk for a process, unless that has ended or the disk has no power.
func call[T any](p *process, do func(d *Disk) (T, error)) (result T, err error) {
	d := p.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if !p.alive() || !d.powered() {
		return result, ErrNoPower
	}
	return do(d)
}

// change is a call that gives nothing but its error.
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
			return nil, missing("read", name)
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
			d.changes = append(d.changes, nameChange{kind: nameMade, name: name, file: file})
		}
		return &handle{disk: d, file: file, life: p.life}, nil
	})
}

// OpenAppend implements wal.Disk.
func (p *process) OpenAppend(name string) (wal.File, error) {
	return call(p, func(d *Disk) (wal.File, error) {
		file, found := d.live[name]
		if !found {
			return nil, missing("open", name)
		}
		return &handle{disk: d, file: file, life: p.life}, nil
	})
}

// Rename implements wal.Disk.
func (p *process) Rename(oldName, newName string) error {
	return p.change(func(d *Disk) error {
		file, found := d.live[oldName]
		if !found {
			return missing("rename", oldName)
		}
		delete(d.live, oldName)
		d.live[newName] = file
		d.changes = append(d.changes, nameChange{kind: nameChanged, name: oldName, newName: newName, file: file})
		return nil
	})
}

// Remove implements wal.Disk.
func (p *process) Remove(name string) error {
	return p.change(func(d *Disk) error {
		file, found := d.live[name]
		if !found {
			return missing("remove", name)
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

func missing(operation, name string) error {
	return fmt.Errorf("%s %s: %w", operation, name, fs.ErrNotExist)
}
