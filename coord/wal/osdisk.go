package wal

import (
	"errors"
	"os"
	"path/filepath"
)

const (
	dirMode  = 0o755
	fileMode = 0o644
)

type osDisk struct {
	dir string
}

// OSDisk returns a Disk for a directory of the operating system's file system. It creates the directory if it is missing.
func OSDisk(dir string) (Disk, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	return osDisk{dir: dir}, nil
}

func (d osDisk) path(name string) string {
	return filepath.Join(d.dir, name)
}

func (d osDisk) List() ([]string, error) {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

func (d osDisk) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(d.path(name))
}

func (d osDisk) Create(name string) (File, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC)
}

func (d osDisk) OpenAppend(name string) (File, error) {
	return d.open(name, 0)
}

func (d osDisk) open(name string, flags int) (File, error) {
	file, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND|flags, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (d osDisk) Rename(oldName, newName string) error {
	return os.Rename(d.path(oldName), d.path(newName))
}

func (d osDisk) Remove(name string) error {
	return os.Remove(d.path(name))
}

func (d osDisk) SyncDir() error {
	dir, err := os.Open(d.dir)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
