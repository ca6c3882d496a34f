package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"

	"gaugeslip/policy"
)

// answerLine is one JSON line of a host's answer.
type answerLine struct {
	ID     string          `json:"id"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// read reads an answer up to the line that ends it. The response is nil if the connection cannot be reused.
func (q *Request) read(c *conn, w Watcher) (Outcome, *http.Response) {
	resp, err := c.head(q.Method)
	if err != nil {
		return Outcome{Result: policy.ConnectionLost}, nil
	}
	load := headerLoad(resp.Header)
	if resp.StatusCode != http.StatusOK {
		return Outcome{Result: statusResult(resp), Load: load}, resp
	}
	lines := bufio.NewReader(io.LimitReader(resp.Body, 4*maxLine))
	for {
		text, err := readLine(lines)
		if err != nil {
			return Outcome{Result: policy.ConnectionLost}, nil
		}
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		var l answerLine
		if json.Unmarshal(text, &l) != nil || l.ID != q.TraceID {
			// The line is not for this request: the outcome of the job is unknown.
			return Outcome{Result: policy.ConnectionLost}, nil
		}
		if l.Load != nil {
			load = ParseLoad(string(l.Load))
		}
		switch l.State {
		case "started":
			w.Started()
		case "running":
			w.Progress(l.Share)
		case "done":
			return Outcome{Result: policy.OK, Body: l.body(), Load: load}, resp
		case "failed":
			return Outcome{Result: policy.AppError, Load: load}, resp
		case "returned":
			return Outcome{Result: policy.Full, Load: load}, resp
		case "lost":
			return Outcome{Result: policy.ConnectionLost, Load: load}, resp
		}
	}
}

// head reads the head of an answer, of bounded length, and skips informational (1xx) answers: the final answer to
// this request follows them.
func (c *conn) head(method string) (*http.Response, error) {
	for range maxInformational {
		c.in.remaining = maxHead
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if c.in.remaining = math.MaxInt; err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
		if resp.StatusCode/100 != 1 {
			return resp, nil
		}
	}
	return nil, errors.New("upstream: no answer but 1xx")
}

// body returns the result as bytes: the text of a JSON string, any other value as it stands.
func (l *answerLine) body() []byte {
	var s string
	if json.Unmarshal(l.Result, &s) == nil {
		return []byte(s)
	}
	return l.Result
}

// readLine reads one line of bounded length.
func readLine(r *bufio.Reader) ([]byte, error) {
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		if err == nil && long == nil {
			return part, nil
		}
		if long = append(long, part...); err == nil {
			return long, nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
		if len(long) > maxLine {
			return nil, errors.New("upstream: a line is too long")
		}
	}
}

// statusResult maps the status of an answer without lines to a result. Only a 503 or 504 with X-Never-Ran proves that
// the job never ran.
func statusResult(resp *http.Response) policy.Result {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Never-Ran") == "1" {
			return policy.Full
		}
	}
	if resp.StatusCode/100 == 4 { // the fault of the request, not of the host
		return policy.Rejected
	}
	return policy.AppError
}
