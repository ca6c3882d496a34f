package control

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/internalapi"
)

// sendReplace sends a Replace request through the operators' API with the given replace function and returns the status.
func sendReplace(body io.Reader, base string, replace func(internalapi.ReplaceArgs, time.Duration) internalapi.ReplaceReply) int {
	api := newOperatorAPI(0)
	api.replace, api.metrics = replace, http.NotFound
	request := httptest.NewRequest(http.MethodPost, "/Config.Replace", body)
	request.Header.Set(baseVersionHeader, base)
	recorder := httptest.NewRecorder()
	api.handler().ServeHTTP(recorder, request)
	return recorder.Code
}

// A request that cannot be read in full is not passed on, and its status says so.
func TestUnreadableOrdersAreNotPassedOn(t *testing.T) {
	never := func(internalapi.ReplaceArgs, time.Duration) internalapi.ReplaceReply {
		t.Error("the request is passed on")
		return internalapi.ReplaceReply{Status: http.StatusOK}
	}
	begun := strings.NewReader(`{"version":1`)
	brokenOff := io.MultiReader(begun, iotest.ErrReader(fmt.Errorf("read: %w", io.ErrUnexpectedEOF)))
	assert.Equal(t, http.StatusServiceUnavailable, sendReplace(brokenOff, "0", never), "a truncated request is not definitely refused")
	stalled := io.MultiReader(begun, iotest.ErrReader(fmt.Errorf("read: %w", os.ErrDeadlineExceeded)))
	assert.Equal(t, http.StatusServiceUnavailable, sendReplace(stalled, "0", never), "a request that stalls is not definitely refused")
	cut := io.MultiReader(begun, iotest.ErrReader(&net.OpError{Op: "read", Err: syscall.ECONNRESET}))
	assert.Equal(t, http.StatusServiceUnavailable, sendReplace(cut, "0", never), "nor is one whose connection fails")
	malformed := io.MultiReader(begun, iotest.ErrReader(errors.New("malformed chunk")))
	assert.Equal(t, http.StatusBadRequest, sendReplace(malformed, "0", never), "malformed")
	assert.Equal(t, http.StatusBadRequest, sendReplace(strings.NewReader("{}"), "one", never), "base that is not a number")
	assert.Equal(t, http.StatusBadRequest, sendReplace(strings.NewReader("{}"), "-1", never), "base below 0")
	tooLong := strings.NewReader(strings.Repeat(" ", maxConfigBytes+1))
	assert.Equal(t, http.StatusRequestEntityTooLarge, sendReplace(tooLong, "0", never), "too long")
}

// The HTTP status is the status of the reply. A request without a base version has base 0.
func TestOrdersAreAnsweredWithTheRepliesStatus(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusPreconditionFailed, http.StatusServiceUnavailable,
		http.StatusGatewayTimeout} {
		code := sendReplace(strings.NewReader("body"), "", func(args internalapi.ReplaceArgs, _ time.Duration) internalapi.ReplaceReply {
			assert.Equal(t, internalapi.ReplaceArgs{Base: 0, Body: []byte("body")}, args)
			return internalapi.ReplaceReply{Status: status}
		})
		assert.Equal(t, status, code)
	}
}
