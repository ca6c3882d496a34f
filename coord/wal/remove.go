package wal

import (
	"errors"
	"fmt"
)

// Remove removes all files of a log. The log must not be open. The removals are not synced: after a loss of power some files may
// reappear.
func Remove(disk Disk, name string) error {
	generations, err := listGenerations(disk, name)
	if err != nil {
		return err
	}
	var failed error
	for _, generation := range generations {
		if err := disk.Remove(generationName(name, generation)); err != nil {
			failed = errors.Join(failed, fmt.Errorf("remove log %s: %w", name, err))
		}
	}
	return failed
}
