package control

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/memorybudget"
	"gaugeslip/internal/system/requestbody"
)

const (
	baseVersionHeader = "X-Gaugeslip-Base-Version"
	// operatorTimeout is how long a request may take before it is answered as undecided: less than the second after which an operator goes
	// on to another machine.
	operatorTimeout = 900 * time.Millisecond
	maxConfigBytes  = 8 << 20
	// All request bodies in transit together may take 1/configMemoryDivisor of the machine's memory, but at least minConfigMemory, which is
	// two bodies of the largest size. The process holds several copies of each body.
	configMemoryDivisor = 8
	minConfigMemory     = 2 * maxConfigBytes
	megabyte            = 1 << 20
)

// operatorAPI is the operators' API over HTTP. Its functions reach the replica that may answer.
type operatorAPI struct {
	replace func(internalapi.ReplaceArgs, time.Duration) internalapi.ReplaceReply
	read    func(time.Duration) internalapi.ReadReply
	metrics http.HandlerFunc
	bodies  *memorybudget.Budget
}

// newOperatorAPI creates the API for a machine with the given memory in megabytes. 0 means not known.
func newOperatorAPI(memoryMb float64) *operatorAPI {
	return &operatorAPI{bodies: memorybudget.NewBudget(max(minConfigMemory, int64(memoryMb*megabyte)/configMemoryDivisor))}
}

func (o *operatorAPI) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Config.Replace", o.serveReplace)
	mux.HandleFunc("GET /Config.Read", o.serveRead)
	mux.HandleFunc("GET /metrics", o.metrics)
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
	body, err := requestbody.Read(request, maxConfigBytes, lease)
	if errors.Is(err, requestbody.ErrTooLarge) {
		writer.Header().Set("Connection", "close")
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		// Without an explicit status net/http would answer 200, which a caller that has only closed its sending direction still reads.
		writer.Header().Set("Connection", "close")
		http.Error(writer, "the body can't be read in full: "+err.Error(), bodyErrorStatus(err))
		return
	}
	reply := o.replace(internalapi.ReplaceArgs{Base: base, Body: body}, operatorTimeout)
	if reply.Status == http.StatusOK {
		writer.WriteHeader(http.StatusOK)
		return
	}
	http.Error(writer, reply.Text, reply.Status)
}

// bodyErrorStatus returns the status for a request whose body cannot be read in full. A body that stopped arriving, or that there is no memory
// for, may be complete at the caller and may be accepted elsewhere: the status must not be a definite refusal.
func bodyErrorStatus(err error) int {
	if requestbody.Interrupted(err) || errors.Is(err, requestbody.ErrNoMemory) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// parseBase parses the version that a configuration is based on. An absent version means that there is none yet.
func parseBase(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (o *operatorAPI) serveRead(writer http.ResponseWriter, _ *http.Request) {
	reply := o.read(operatorTimeout)
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
