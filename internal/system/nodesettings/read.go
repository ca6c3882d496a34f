package nodesettings

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"gaugeslip/internal/system/findings"
)

// LoadFromEnvironment loads the file named by FileVariable.
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

// Parse parses a settings file. An error holds findings.Findings. If the file isn't valid TOML, settings are nil. If only single
// values are invalid, Parse returns both the settings, with defaults for those values, and the findings.
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
