package wal

import (
	"errors"
	"os"
	"path/filepath"
)

const (
	folderMode = 0o755
	fileMode   = 0o644
)

type osDisk struct {
	folder string
}

// OSDisk returns the folder of the operating system at the path; it is made if it is missing.
func OSDisk(folder string) (Disk, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, err
	}
	return osDisk{folder: folder}, nil
}

func (d osDisk) path(name string) string {
	return filepath.Join(d.folder, name)
}

func (d osDisk) List() ([]string, error) {
	entries, err := os.ReadDir(d.folder)
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
	folder, err := os.Open(d.folder)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
