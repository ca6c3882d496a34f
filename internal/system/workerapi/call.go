package workerapi

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"

	"gaugeslip/internal/system/memorybudget"
)

const (
	expectInstanceHeader = "X-Gaugeslip-Expect-Instance"
	maxAnswerBytes       = 4 << 20
	maxPooledBufferBytes = 64 << 10
	// unleasedAnswerBytes is the size up to which an answer takes no memory from the client's budget. It exceeds the answer of a worker with a
	// thousand runs and ends. Longer answers share the budget.
	unleasedAnswerBytes = 64 << 10
)

var (
	jsonContentType = []string{"application/json"}
	noUserAgent     = []string{""}
	answerBuffers   = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// call sends one order and reads the worker's answer into answer. An order of which a byte may have been sent is never sent
// again: the transport retries only requests of which it wrote nothing on any connection.
func (client *Client) call(ctx context.Context, worker Worker, path string, order []byte, answer *wireAnswer) (Outcome, error) {
	trace := newConnectionTrace()
	response, err := client.transport.RoundTrip(newRequest(trace.context(ctx), worker, path, order))
	if err != nil {
		return trace.classifyFailure(err)
	}
	buffer := acquireAnswerBuffer()
	defer releaseAnswerBuffer(buffer)
	lease := client.answerMemory.NewLease()
	defer lease.Release()
	if err := readAnswer(response, buffer, lease); err != nil {
		return Unknown, fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	return classifyAnswer(response.StatusCode, buffer.Bytes(), path == holdPath, answer)
}

// newRequest passes the order as a reader that the transport knows to be in memory, so that it sends header and body together.
// The transport then owns the order's bytes and may read them after the call has returned.
func newRequest(ctx context.Context, worker Worker, path string, order []byte) *http.Request {
	body := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(order)), nil }
	first, _ := body()
	request := &http.Request{
		Method:     http.MethodPost,
		URL:        &url.URL{Scheme: "http", Host: worker.Address, Path: path},
		Host:       worker.Address,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header: http.Header{
			"Content-Type":       jsonContentType,
			"User-Agent":         noUserAgent,
			expectInstanceHeader: {worker.Instance},
		},
		Body:          first,
		ContentLength: int64(len(order)),
		GetBody:       body,
	}
	return request.WithContext(ctx)
}

// readAnswer reads the body to its end, so that the connection can be reused, and closes it. After status 101 (switching protocols) it
// reads nothing: the connection then belongs to the caller, and no context ends a read from it. The lease reserves the memory of answers
// longer than unleasedAnswerBytes.
func readAnswer(response *http.Response, buffer *bytes.Buffer, lease *memorybudget.Lease) error {
	defer response.Body.Close()
	if response.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %d", ErrUnexpectedStatus, response.StatusCode)
	}
	const overLimit = maxAnswerBytes + 1
	for limit := int64(unleasedAnswerBytes); ; {
		if _, err := buffer.ReadFrom(io.LimitReader(response.Body, limit-int64(buffer.Len()))); err != nil {
			return err
		}
		switch {
		case int64(buffer.Len()) < limit:
			return nil
		case limit == overLimit:
			return fmt.Errorf("%w: more than %d bytes", ErrUnreadable, maxAnswerBytes)
		}
		if limit = min(2*limit, overLimit); !lease.Grow(limit) {
			return fmt.Errorf("%w: %d bytes; no memory for more beside other answers", ErrUnreadable, buffer.Len())
		}
	}
}

// classifyAnswer maps an answer to an outcome. The outcome of an unreadable answer is Unknown, also with status 200: the caller then has to
// find out whether the order was carried out.
func classifyAnswer(status int, data []byte, requiresBody bool, answer *wireAnswer) (Outcome, error) {
	err := decodeOptional(data, answer)
	switch status {
	case http.StatusOK:
		if requiresBody && len(data) == 0 {
			return Unknown, fmt.Errorf("%w: no body", ErrUnreadable)
		}
		return outcomeUnlessError(Done, err)
	case http.StatusConflict:
		if err == nil && answer.refusal == Unknown {
			err = fmt.Errorf("%w: refused without a known reason", ErrUnreadable)
		}
		return outcomeUnlessError(answer.refusal, err)
	case http.StatusBadRequest:
		return BadRequest, nil
	case http.StatusMisdirectedRequest:
		*answer = wireAnswer{} // the answer describes the other instance
		return OtherInstance, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Busy, nil
	}
	return Unknown, fmt.Errorf("%w: %d", ErrUnexpectedStatus, status)
}

// decodeOptional decodes the body unless it is empty. On an error it resets answer.
func decodeOptional(data []byte, answer *wireAnswer) error {
	if len(data) == 0 {
		return nil
	}
	err := answer.decode(data)
	if err != nil {
		*answer = wireAnswer{}
	}
	return err
}

func outcomeUnlessError(outcome Outcome, err error) (Outcome, error) {
	if err != nil {
		return Unknown, err
	}
	return outcome, nil
}

func acquireAnswerBuffer() *bytes.Buffer {
	buffer := answerBuffers.Get().(*bytes.Buffer)
	buffer.Reset()
	return buffer
}

func releaseAnswerBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBufferBytes {
		answerBuffers.Put(buffer)
	}
}
