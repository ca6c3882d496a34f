package localcluster

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
)

// doRequest performs an HTTP request and reads the whole response body.
func doRequest(client *http.Client, request *http.Request) (status int, body []byte, err error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// fetch performs a GET request to a process.
func fetch(ctx context.Context, client *http.Client, address, path string) (status int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, err
	}
	return doRequest(client, request)
}

// sendConfiguration sends a configuration that is based on version base to one replica.
func sendConfiguration(ctx context.Context, client *http.Client, address string, base int64, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/Config.Replace", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set(baseVersionHeader, strconv.FormatInt(base, 10))
	return doRequest(client, request)
}
