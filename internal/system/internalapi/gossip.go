package internalapi

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"gaugeslip/coord/view"
)

// The keys of the values that go out by gossip.
const (
	// KeyConfig is the operator's newest committed configuration: the body as it came; its version is the major version.
	KeyConfig = "config"
	// KeyView is the newest view that is known, as by EncodeView; the major version is that of ViewVersion.
	KeyView = "view"
)

// ViewVersion is the major version under which a view goes out by gossip. It is never 0, which is older than any value.
func ViewVersion(newest view.View) uint64 { return newest.Epoch + 1 }

// EncodeView writes a view as it goes out by gossip.
func EncodeView(newest view.View) ([]byte, error) {
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(newest); err != nil {
		return nil, fmt.Errorf("view: %w", err)
	}
	return data.Bytes(), nil
}

// DecodeView reads what EncodeView wrote.
func DecodeView(data []byte) (view.View, error) {
	var newest view.View
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&newest); err != nil {
		return view.View{}, fmt.Errorf("view: %w", err)
	}
	return newest, nil
}
