package decisionlab

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// decodeError adds the position or the unknown keys to an error of the decoder.
func decodeError(err error) error {
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
