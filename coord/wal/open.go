package wal

import (
	"fmt"
)

// Open opens the log of that name, or makes it, and returns its records in order. It stops at the first record that is
// torn or corrupt. All that it returns lasts.
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

// newestComplete reads the generations, highest first, until one is complete.
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

// adopt goes on with a complete generation. What was read of it may not last yet, after a kill, so it is synced here.
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
