package workerapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/memorybudget"
)

const (
	instancesPath      = "/instances"
	maxListPages       = 10_000
	listConnections    = 2
	defaultListTimeout = 5 * time.Second
	// rateLimitBackoff is the wait before a rate-limited page is requested again, maxPageAttempts the number of requests per page.
	rateLimitBackoff = 120 * time.Millisecond
	maxPageAttempts  = 10
)

// Errors of reading the platform's list.
var (
	// ErrRateLimited means that the platform received more calls than it accepts.
	ErrRateLimited = errors.New("rate of calls exceeded")
	// ErrEndlessList means that a list has too many pages or repeats a page token.
	ErrEndlessList = errors.New("list without end")
)

// InstanceState is the state of a worker on the platform's list.
type InstanceState uint8

const (
	// StateUnknown: the platform sent a word that the contract doesn't define.
	StateUnknown InstanceState = iota
	// StateReady: the worker serves.
	StateReady
	// StateDraining: the worker is going to be terminated.
	StateDraining
)

// Allocatable is a worker's capacity: CPU in thousandths of a core, memory in megabytes, and whole GPUs.
type Allocatable struct {
	CPU      int
	MemoryMB int
	GPUs     int
}

// Instance is one worker on the platform's list. ColdRemainingMs is how much longer it stays slow after its start. RemainingMs is the
// least time that a draining worker still has (0 if the platform doesn't state it). Both are in milliseconds.
type Instance struct {
	ID              string
	Backend         string
	Address         string
	Zone            string
	Version         string
	Capacity        int
	State           InstanceState
	ColdRemainingMs int64
	RemainingMs     int64
	Allocatable     Allocatable
	Labels          []string
}

// ListClient reads the platform's list. It is safe for concurrent use.
type ListClient struct {
	transport    *http.Transport
	answerMemory *memorybudget.Budget
	pause        func(ctx context.Context, length time.Duration) error
}

// NewListClient returns a client without open connections. Dial makes its connections; nil selects the operating system's sockets.
func NewListClient(dial Dial) *ListClient {
	return &ListClient{transport: newTransport(newConnectionLimiter(listConnections, dial), listConnections),
		answerMemory: memorybudget.NewBudget(defaultAnswerMemory), pause: pause.For}
}

// Close closes the idle connections.
func (client *ListClient) Close() {
	client.transport.CloseIdleConnections()
}

// List reads all pages of the list at the platform's address (host:port). It returns the complete list or an error, never a part.
// Each page counts as one call at the platform; a call beyond its rate limit gives ErrRateLimited. A context without a
// deadline gets one of 5 s for all pages together.
func (client *ListClient) List(ctx context.Context, address string) ([]Instance, error) {
	ctx, cancel := withTimeout(ctx, defaultListTimeout)
	defer cancel()
	var instances []Instance
	token := ""
	for range maxListPages {
		page, err := client.pageWithRetries(ctx, address, token)
		if err != nil {
			return nil, fmt.Errorf("list of %s: %w", address, err)
		}
		instances = append(instances, page.instances...)
		if page.nextToken == "" {
			return instances, nil
		}
		if page.nextToken == token {
			break
		}
		token = page.nextToken
	}
	return nil, fmt.Errorf("list of %s: %w", address, ErrEndlessList)
}

// pageWithRetries reads a page and requests it again if it was rate-limited, so that a list of many pages is completed without reading the
// earlier pages anew. It doesn't retry the first page.
func (client *ListClient) pageWithRetries(ctx context.Context, address, token string) (listPage, error) {
	for attempt := 1; ; attempt++ {
		page, err := client.fetchPage(ctx, address, token)
		if !errors.Is(err, ErrRateLimited) || attempt == maxPageAttempts || token == "" {
			return page, err
		}
		if pauseErr := client.pause(ctx, rateLimitBackoff); pauseErr != nil {
			return page, err
		}
	}
}

func (client *ListClient) fetchPage(ctx context.Context, address, token string) (listPage, error) {
	response, err := client.transport.RoundTrip(newListRequest(ctx, address, token))
	if err != nil {
		return listPage{}, fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	buffer := acquireAnswerBuffer()
	defer releaseAnswerBuffer(buffer)
	lease := client.answerMemory.NewLease()
	defer lease.Release()
	if err := readAnswer(response, buffer, lease); err != nil {
		return listPage{}, fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return decodeListPage(buffer.Bytes())
	case http.StatusTooManyRequests:
		return listPage{}, ErrRateLimited
	}
	return listPage{}, fmt.Errorf("%w: %d", ErrUnexpectedStatus, response.StatusCode)
}

func newListRequest(ctx context.Context, address, token string) *http.Request {
	location := &url.URL{Scheme: "http", Host: address, Path: instancesPath}
	if token != "" {
		location.RawQuery = "pageToken=" + url.QueryEscape(token)
	}
	request := &http.Request{
		Method:     http.MethodGet,
		URL:        location,
		Host:       address,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     http.Header{"User-Agent": noUserAgent},
	}
	return request.WithContext(ctx)
}
