package dataplane

import (
	"encoding/json"
	"errors"
	"net/http"

	"gaugeslip/internal/system/findings"
)

// invalidBody is the body of a 400: all findings with their places.
type invalidBody struct {
	Findings []invalidFinding `json:"findings"`
}

type invalidFinding struct {
	Place string `json:"place,omitempty"`
	Text  string `json:"text"`
}

// invalidResponse returns the 400 for a request that can never be accepted.
func invalidResponse(err error) response {
	var found findings.Findings
	if !errors.As(err, &found) {
		found = findings.Findings{{Text: err.Error()}}
	}
	listed := invalidBody{Findings: make([]invalidFinding, len(found))}
	for index, finding := range found {
		listed.Findings[index] = invalidFinding{Place: finding.Place, Text: finding.Text}
	}
	body, err := json.Marshal(listed)
	if err != nil {
		body = []byte("{}")
	}
	return response{status: http.StatusBadRequest, body: body}
}
