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
	// ratePause is how long a page that was refused for the rate waits, mostPageTries how often it is asked for.
	ratePause     = 120 * time.Millisecond
	mostPageTries = 10
)

// Errors of the platform's list.
var (
	// ErrRateLimited means that the platform has had more calls than it accepts.
	ErrRateLimited = errors.New("rate of calls exceeded")
	// ErrEndlessList means that the pages of a list don't come to an end.
	ErrEndlessList = errors.New("list without end")
)

// InstanceState is what the platform does with a worker.
type InstanceState uint8

const (
	// StateUnknown is a word that the contract doesn't know.
	StateUnknown InstanceState = iota
	// StateReady: the worker serves.
	StateReady
	// StateDraining: the worker is to end.
	StateDraining
)

// Allocatable is a worker's room: thousandths of a core, megabytes, and whole GPUs.
type Allocatable struct {
	CPU      int
	MemoryMB int
	GPUs     int
}

// Instance is one worker on the platform's list. ColdRemainingMs is how long it stays slow after its start, RemainingMs the
// least time that a draining one still has (0 if it isn't told).
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
	transport *http.Transport
	answers   *memorybudget.Budget
	pause     func(ctx context.Context, length time.Duration) error
}

// NewListClient returns a client that has no connection yet. Dial makes its connections; nil stands for the operating system's sockets.
func NewListClient(dial Dial) *ListClient {
	return &ListClient{transport: newTransport(newConnectionBound(listConnections, dial), listConnections),
		answers: memorybudget.NewBudget(defaultAnswerMemory), pause: pause.For}
}

// Close closes the connections that no call uses.
func (client *ListClient) Close() {
	client.transport.CloseIdleConnections()
}

// List reads all pages of the list at the platform's address (host:port). It returns the whole list or an error, never a part;
// each page is one call in the platform's count, and a call beyond its rate gives ErrRateLimited. A context without a
// deadline gets one of 5 s for all pages together.
func (client *ListClient) List(ctx context.Context, address string) ([]Instance, error) {
	ctx, cancel := withTimeout(ctx, defaultListTimeout)
	defer cancel()
	var instances []Instance
	token := ""
	for range maxListPages {
		page, err := client.patientPage(ctx, address, token)
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

// patientPage reads a page; one that is refused for the rate is asked for again, so that a list of many pages gets through: the pages
// read so far aren't thrown away.
func (client *ListClient) patientPage(ctx context.Context, address, token string) (listPage, error) {
	for try := 1; ; try++ {
		page, err := client.page(ctx, address, token)
		if !errors.Is(err, ErrRateLimited) || try == mostPageTries || token == "" {
			return page, err
		}
		if pauseErr := client.pause(ctx, ratePause); pauseErr != nil {
			return page, err
		}
	}
}

func (client *ListClient) page(ctx context.Context, address, token string) (listPage, error) {
	response, err := client.transport.RoundTrip(newListRequest(ctx, address, token))
	if err != nil {
		return listPage{}, fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	buffer := acquireAnswerBuffer()
	defer releaseAnswerBuffer(buffer)
	lease := client.answers.NewLease()
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
