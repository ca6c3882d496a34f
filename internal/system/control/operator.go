package control

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/memorybudget"
	"gaugeslip/internal/system/requestbody"
)

const (
	baseVersionHeader = "X-Gaugeslip-Base-Version"
	// operatorPatience is how long an order may take before it is left without a clear answer: less than the second after which an
	// operator goes on to another machine.
	operatorPatience = 900 * time.Millisecond
	mostConfigBytes  = 8 << 20
	// orderPart is the part of the machine's memory that all orders which arrive may take together, leastOrderMemory what they may take at
	// least: two of the largest. In the process an order is held several times over.
	orderPart        = 8
	leastOrderMemory = 2 * mostConfigBytes
	megabyte         = 1 << 20
)

// operatorAPI is the operator's API over HTTP. It knows how to reach whoever may answer.
type operatorAPI struct {
	replace func(internalapi.ReplaceArgs, time.Duration) internalapi.ReplaceReply
	read    func(time.Duration) internalapi.ReadReply
	figures http.HandlerFunc
	bodies  *memorybudget.Budget
}

// newOperatorAPI is one for a machine with so much memory, in megabytes; 0: not known.
func newOperatorAPI(memoryMb float64) *operatorAPI {
	return &operatorAPI{bodies: memorybudget.NewBudget(max(leastOrderMemory, int64(memoryMb*megabyte)/orderPart))}
}

func (o *operatorAPI) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Config.Replace", o.serveReplace)
	mux.HandleFunc("GET /Config.Read", o.serveRead)
	mux.HandleFunc("GET /metrics", o.figures)
	return mux
}

func (o *operatorAPI) serveReplace(writer http.ResponseWriter, request *http.Request) {
	base, err := parseBase(request.Header.Get(baseVersionHeader))
	if err != nil {
		http.Error(writer, baseVersionHeader+": "+err.Error(), http.StatusBadRequest)
		return
	}
	lease := o.bodies.NewLease()
	defer lease.Release()
	body, err := requestbody.Read(request, mostConfigBytes, lease)
	if errors.Is(err, requestbody.ErrTooLarge) {
		writer.Header().Set("Connection", "close")
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		// An answer without a status would be a 200, which a caller that has only closed its own direction still reads.
		writer.Header().Set("Connection", "close")
		http.Error(writer, "the body can't be read in full: "+err.Error(), unreadStatus(err))
		return
	}
	reply := o.replace(internalapi.ReplaceArgs{Base: base, Body: body}, operatorPatience)
	if reply.Status == http.StatusOK {
		writer.WriteHeader(http.StatusOK)
		return
	}
	http.Error(writer, reply.Text, reply.Status)
}

// unreadStatus is the answer to an order whose body can't be read in full. One that broke off on its way, or that there is no memory for, may
// be whole at the caller, and taken before: it isn't refused.
func unreadStatus(err error) int {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, requestbody.ErrNoMemory) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// parseBase reads the version on which a configuration builds; absent means the first.
func parseBase(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (o *operatorAPI) serveRead(writer http.ResponseWriter, _ *http.Request) {
	reply := o.read(operatorPatience)
	if reply.Verdict != internalapi.Done {
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, reply.Text, http.StatusServiceUnavailable)
		return
	}
	if reply.Version == 0 {
		http.Error(writer, "no configuration yet", http.StatusNotFound)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	_, _ = writer.Write(reply.Body)
}
