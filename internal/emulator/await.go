package emulator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gaugeslip/internal/pause"
)

// Await waits until the dispatcher at addr is up. It returns an error if ctx ends first.
func Await(ctx context.Context, addr string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/up", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if pause.For(ctx, 20*time.Millisecond) != nil {
			return errors.New("emulator: the dispatcher at " + addr + " is not up")
		}
	}
}
