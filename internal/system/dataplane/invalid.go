package dataplane

import (
	"encoding/json"
	"errors"
	"net/http"

	"gaugeslip/internal/system/findings"
)

// rejection is the body of a 400: everything that is wrong, with its place.
type rejection struct {
	Findings []rejected `json:"findings"`
}

type rejected struct {
	Place string `json:"place,omitempty"`
	Text  string `json:"text"`
}

// invalid answers a request that can't be taken, whatever is done.
func invalid(err error) answer {
	var found findings.Findings
	if !errors.As(err, &found) {
		found = findings.Findings{{Text: err.Error()}}
	}
	listed := rejection{Findings: make([]rejected, len(found))}
	for index, finding := range found {
		listed.Findings[index] = rejected{Place: finding.Place, Text: finding.Text}
	}
	body, err := json.Marshal(listed)
	if err != nil {
		body = []byte("{}")
	}
	return answer{status: http.StatusBadRequest, body: body}
}
