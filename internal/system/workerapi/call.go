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
	maxKeptBufferBytes   = 64 << 10
	// smallAnswerBytes is what any answer may take: more than a worker says that has a thousand runs and ends. Longer ones share what there is
	// for all of them.
	smallAnswerBytes = 64 << 10
)

var (
	jsonContentType = []string{"application/json"}
	noUserAgent     = []string{""}
	answerBuffers   = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// call sends one order and reads the answer into answer. It never repeats an order of which a byte may have left: the
// transport repeats only what was written on no connection.
func (client *Client) call(ctx context.Context, worker Worker, path string, order []byte, answer *wireAnswer) (Outcome, error) {
	sending := newSending()
	response, err := client.transport.RoundTrip(newRequest(sending.context(ctx), worker, path, order))
	if err != nil {
		return sending.failure(err)
	}
	buffer := acquireAnswerBuffer()
	defer releaseAnswerBuffer(buffer)
	lease := client.answers.NewLease()
	defer lease.Release()
	if err := readAnswer(response, buffer, lease); err != nil {
		return Unknown, fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	return interpret(response.StatusCode, buffer.Bytes(), path == holdPath, answer)
}

// newRequest gives the order as a reader that the transport knows to be in memory, so that header and body go out together.
// The order's bytes belong to the transport from then on, which may read them after the call.
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

// readAnswer reads the body to its end, so that the connection can be kept, and closes it. Of a switch of protocols nothing is read:
// the connection is then the caller's, and no context ends a read from it. What is longer than a small answer is held by the lease.
func readAnswer(response *http.Response, buffer *bytes.Buffer, lease *memorybudget.Lease) error {
	defer response.Body.Close()
	if response.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %d", ErrUnexpectedStatus, response.StatusCode)
	}
	const tooMuch = maxAnswerBytes + 1
	for limit := int64(smallAnswerBytes); ; {
		if _, err := buffer.ReadFrom(io.LimitReader(response.Body, limit-int64(buffer.Len()))); err != nil {
			return err
		}
		switch {
		case int64(buffer.Len()) < limit:
			return nil
		case limit == tooMuch:
			return fmt.Errorf("%w: more than %d bytes", ErrUnreadable, maxAnswerBytes)
		}
		if limit = min(2*limit, tooMuch); !lease.Grow(limit) {
			return fmt.Errorf("%w: %d bytes, and the answers of others take the memory for more", ErrUnreadable, buffer.Len())
		}
	}
}

// interpret classes an answer. An answer that can't be read leaves Unknown, also after a 200: the caller has then to look.
func interpret(status int, data []byte, needBody bool, answer *wireAnswer) (Outcome, error) {
	err := decodeIfAny(data, answer)
	switch status {
	case http.StatusOK:
		if needBody && len(data) == 0 {
			return Unknown, fmt.Errorf("%w: no body", ErrUnreadable)
		}
		return readOr(Done, err)
	case http.StatusConflict:
		if err == nil && answer.refusal == Unknown {
			err = fmt.Errorf("%w: refused without a known reason", ErrUnreadable)
		}
		return readOr(answer.refusal, err)
	case http.StatusBadRequest:
		return BadRequest, nil
	case http.StatusMisdirectedRequest:
		*answer = wireAnswer{} // what it tells belongs to the other life
		return OtherInstance, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Busy, nil
	}
	return Unknown, fmt.Errorf("%w: %d", ErrUnexpectedStatus, status)
}

// decodeIfAny reads a body if there is one. What was read before an error doesn't count.
func decodeIfAny(data []byte, answer *wireAnswer) error {
	if len(data) == 0 {
		return nil
	}
	err := answer.decode(data)
	if err != nil {
		*answer = wireAnswer{}
	}
	return err
}

func readOr(outcome Outcome, err error) (Outcome, error) {
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
	if buffer.Cap() <= maxKeptBufferBytes {
		answerBuffers.Put(buffer)
	}
}
