package simdisk

import "maps"

type nameChangeKind uint8

const (
	nameCreated nameChangeKind = iota
	nameRenamed
	nameRemoved
)

// nameChange is a change of the directory that is not durable yet.
type nameChange struct {
	kind    nameChangeKind
	name    string
	newName string
	file    *inode
}

// applyTo applies the change to a set of names.
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

// syncNames makes all changes of names durable.
func (d *Disk) syncNames() {
	for _, change := range d.changes {
		change.applyTo(d.durable)
	}
	d.changes = d.changes[:0]
}

// syncNewName makes the name under which a file was created durable, if it is not durable yet.
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

// resolveNames decides at a loss of power which unsynced changes of names are kept.
func (d *Disk) resolveNames(loseAll bool) {
	for _, change := range d.changes {
		if !loseAll && d.evenChance() {
			change.applyTo(d.durable)
		}
	}
	d.changes = nil
	d.live = maps.Clone(d.durable)
}
