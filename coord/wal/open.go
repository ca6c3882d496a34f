package wal

import (
	"fmt"
)

// Open opens the log with the given name, or creates it, and returns its records in order, up to the first that is torn
// or corrupt. All returned records are durable.
func Open(disk Disk, name string) (*Log, []Record, error) {
	generations, err := listGenerations(disk, name)
	if err != nil {
		return nil, nil, err
	}
	log := &Log{disk: disk, name: name}
	if len(generations) > 0 {
		log.highestGeneration = generations[0]
	}
	found, complete, err := newestComplete(disk, name, generations)
	if err != nil {
		return nil, nil, err
	}
	log.obsolete = generationsExcept(found.header.generation, generations)
	if complete && !found.torn {
		err = log.adopt(found)
	} else {
		log.obsolete = generations
		err = log.startGeneration(found.records)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("open log %s: %w", name, err)
	}
	log.removeObsolete()
	return log, found.records, nil
}

// newestComplete reads the generations in the given order, highest first, and returns the first complete one.
func newestComplete(disk Disk, name string, generations []uint64) (contents, bool, error) {
	for _, generation := range generations {
		file, err := disk.ReadFile(generationName(name, generation))
		if err != nil {
			return contents{}, false, fmt.Errorf("read log %s: %w", name, err)
		}
		if found, complete := parseContents(generation, file); complete {
			return found, true, nil
		}
	}
	return contents{}, false, nil
}

// adopt makes a complete generation current. If the process that wrote it was killed, the content read may not be durable
// yet, so adopt syncs it.
func (l *Log) adopt(found contents) error {
	file, err := l.disk.OpenAppend(generationName(l.name, found.header.generation))
	if err != nil {
		return err
	}
	if err := syncFileAndDir(l.disk, file); err != nil {
		_ = file.Close()
		return err
	}
	l.switchTo(file, found.header, found.size)
	return nil
}

func generationsExcept(kept uint64, generations []uint64) []uint64 {
	var others []uint64
	for _, generation := range generations {
		if generation != kept {
			others = append(others, generation)
		}
	}
	return others
}
