package nodesettings

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"gaugeslip/internal/system/findings"
)

// LoadFromEnvironment loads the file that FileVariable names.
func LoadFromEnvironment() (*Settings, error) {
	path := os.Getenv(FileVariable)
	if path == "" {
		return nil, fmt.Errorf("settings: %s is not set", FileVariable)
	}
	return Load(path)
}

// Load reads the settings file at the path; see Parse.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings, err := Parse(data)
	if err != nil {
		return settings, fmt.Errorf("settings %s: %w", path, err)
	}
	return settings, nil
}

// Parse reads a settings file. An error holds findings.Findings. When the file is no TOML there are no settings; when single
// values can't be used, the settings come along with the findings, with defaults in the place of those values.
func Parse(data []byte) (*Settings, error) {
	var found findings.Findings
	document := map[string]any{}
	if err := toml.Unmarshal(data, &document); err != nil {
		found.Add(errorPosition(err), "%v", err)
		return nil, found
	}
	settings := Default()
	fill(settings, document, &found)
	checkValues(settings, &found)
	return settings, found.Err()
}

func errorPosition(err error) string {
	var failure *toml.DecodeError
	if !errors.As(err, &failure) {
		return ""
	}
	line, column := failure.Position()
	return fmt.Sprintf("line %d, column %d", line, column)
}
