package decisionlab

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// detailed tells where a text can't be read.
func detailed(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return fmt.Errorf("unknown keys:\n%s", unknown.String())
	}
	var place *toml.DecodeError
	if errors.As(err, &place) {
		row, column := place.Position()
		return fmt.Errorf("line %d, column %d: %w", row, column, err)
	}
	return err
}
