package simdisk

import "maps"

type nameChangeKind uint8

const (
	nameCreated nameChangeKind = iota
	nameRenamed
	nameRemoved
)

// nameChange is a change of the folder that doesn't last yet.
type nameChange struct {
	kind    nameChangeKind
	name    string
	newName string
	file    *inode
}

// applyTo does the change to the names that last.
func (c nameChange) applyTo(names map[string]*inode) {
	if c.kind == nameCreated {
		names[c.name] = c.file
		return
	}
	if names[c.name] == c.file {
		delete(names, c.name)
	}
	if c.kind == nameRenamed {
		names[c.newName] = c.file
	}
}

// syncNames makes all changes of names last.
func (d *Disk) syncNames() {
	for _, change := range d.changes {
		change.applyTo(d.durable)
	}
	d.changes = d.changes[:0]
}

// syncNewName makes the name last under which the file was made, if it is new.
func (d *Disk) syncNewName(file *inode) {
	kept := d.changes[:0]
	for _, change := range d.changes {
		if change.kind == nameCreated && change.file == file {
			change.applyTo(d.durable)
			continue
		}
		kept = append(kept, change)
	}
	d.changes = kept
}

// resolveNames decides at a loss of power which changes of names are kept.
func (d *Disk) resolveNames(loseAll bool) {
	for _, change := range d.changes {
		if !loseAll && d.evenChance() {
			change.applyTo(d.durable)
		}
	}
	d.changes = nil
	d.live = maps.Clone(d.durable)
}
