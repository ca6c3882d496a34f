package dataplane

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/nodesettings"
)

// settingsFile is the settings file as it was last looked at.
type settingsFile struct {
	path    string
	content []byte
}

// OpenSettings reads and checks the settings file of a dispatcher. The error holds findings.Findings, all of them, where the
// file has faults.
func OpenSettings(path string) (*nodesettings.Settings, error) {
	settings, _, err := (&settingsFile{path: path}).read()
	return settings, err
}

// read reads the file; without a change since the last look there are neither settings nor an error. With faults in single
// values, the settings come along with the error.
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

// usable tells whether a dispatcher can run by these settings, whatever else is wrong with them.
func usable(settings *nodesettings.Settings) bool {
	return settings != nil && settings.Check(nodesettings.RoleDataPlane) == nil
}
