package dataplane

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/nodesettings"
)

// settingsFile is a settings file with the content that was last read.
type settingsFile struct {
	path    string
	content []byte
}

// OpenSettings reads and checks a dispatcher's settings file. If the file is invalid, the error wraps findings.Findings with all
// faults.
func OpenSettings(path string) (*nodesettings.Settings, error) {
	settings, _, err := (&settingsFile{path: path}).read()
	return settings, err
}

// read reads the file. If it is unchanged since the last read, settings and err are nil. If only single values are invalid, both
// settings and err are returned.
func (f *settingsFile) read() (settings *nodesettings.Settings, changed bool, err error) {
	content, err := os.ReadFile(f.path)
	if err != nil {
		return nil, false, fmt.Errorf("settings: %w", err)
	}
	if f.content != nil && bytes.Equal(content, f.content) {
		return nil, false, nil
	}
	f.content = content
	settings, err = nodesettings.Parse(content)
	found := findingsOf(err)
	if settings != nil {
		found = append(found, findingsOf(settings.Check(nodesettings.RoleDataPlane))...)
	}
	if err := found.Err(); err != nil {
		return settings, true, fmt.Errorf("settings %s: %w", f.path, err)
	}
	return settings, true, nil
}

func findingsOf(err error) findings.Findings {
	var found findings.Findings
	if err != nil && !errors.As(err, &found) {
		found.Add("", "%v", err)
	}
	return found
}

// usable reports whether a dispatcher can run with these settings, whatever other faults they have.
func usable(settings *nodesettings.Settings) bool {
	return settings != nil && settings.Check(nodesettings.RoleDataPlane) == nil
}
