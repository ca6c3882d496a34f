package wal

import (
	"errors"
	"fmt"
)

// Remove takes away all files of a log, which must not be open. After a loss of power some may be back.
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
