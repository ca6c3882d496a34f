package workerapi

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gaugeslip/internal/simnet"
)

// answersWithEnds are complete answers of every kind that ends before its connection.
var answersWithEnds = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\ncontent-length:  0\r\n\r\n",
	"HTTP/1.1 409 Conflict\nContent-Length: 2\n\n{}",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\na;ext=1\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n",
}

// feed passes the text in pieces of the given size and returns how many bytes were expected.
func feed(f *framing, text string, size int) (expected int) {
	for at := 0; at < len(text); at += size {
		piece := text[at:min(at+size, len(text))]
		count := f.countExpected([]byte(piece))
		expected += count
		if count < len(piece) {
			break
		}
	}
	return expected
}

func TestFramingFindsTheEndOfAnAnswer(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\n"
	for _, answer := range answersWithEnds {
		for size := 1; size <= len(answer)+len(extra); size++ {
			var f framing
			f.noteRequest()
			require.Equal(t, len(answer), feed(&f, answer+extra, size), "%q in pieces of %d", answer, size)
			f.noteRequest()
			require.Equal(t, len(extra), feed(&f, extra, size), "the next request's answer")
		}
	}
}

func TestAnswersEndedByCloseAreExpected(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n\r\nto the end of the connection",
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n\r\nanything",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\nmore",
		"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nmore",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeaderBytes+1) + "\r\n\r\nmore",
	} {
		var f framing
		f.noteRequest()
		require.Equal(t, len(answer), feed(&f, answer, 7))
	}
}

func TestBytesBeforeARequestAreUnsolicited(t *testing.T) {
	var f framing
	require.Zero(t, f.countExpected([]byte("HTTP/1.1 408 Request Timeout\r\n\r\n")))
}

// The framing finds the same end of an answer as net/http.
func TestFramingAgreesWithNetHTTP(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.StringN(0, 300, 300).Draw(t, "body")
		var text strings.Builder
		response := &http.Response{StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body))}
		if rapid.Bool().Draw(t, "chunked") {
			response.ContentLength, response.TransferEncoding = -1, []string{"chunked"}
		}
		require.NoError(t, response.Write(&text))
		rest := rapid.String().Draw(t, "rest")
		reader := bufio.NewReader(strings.NewReader(text.String() + rest))
		read, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, read.Body)
		require.NoError(t, err)
		left, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.Equal(t, rest, string(left))
		var f framing
		f.noteRequest()
		require.Equal(t, text.Len(), feed(&f, text.String()+rest, rapid.IntRange(1, 400).Draw(t, "size")), fmt.Sprintf("%q", text.String()))
	})
}

func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(5)
		listener, err := network.Listen(workerAddress)
		require.NoError(t, err)
		near, err := network.Dial(t.Context(), callerHost, workerAddress)
		require.NoError(t, err)
		far, err := listener.Accept()
		require.NoError(t, err)
		connection := &limitedConnection{Conn: near, limiter: newConnectionLimiter(1, nil)}
		_, err = connection.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		require.NoError(t, err)
		_, err = far.Write([]byte(answerText(1) + answerText(99)))
		require.NoError(t, err)
		buffer := make([]byte, 1024)
		count, err := connection.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, answerText(1), string(buffer[:count]))
		_, err = connection.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		require.NoError(t, err)
		_, err = connection.Read(buffer)
		require.ErrorIs(t, err, errUnsolicited, "also after the next request was sent")
	})
}
