package internalapi

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"gaugeslip/coord/view"
)

// The keys of the gossiped values.
const (
	// KeyConfig is the newest committed configuration, as the operator sent it. Its version is the major version of the value.
	KeyConfig = "config"
	// KeyView is the newest known view, encoded by EncodeView. Its major version is ViewVersion.
	KeyView = "view"
)

// ViewVersion returns the major version of a gossiped view. It is never 0, which would be older than any value.
func ViewVersion(newest view.View) uint64 { return newest.Epoch + 1 }

// EncodeView encodes a view for gossip.
func EncodeView(newest view.View) ([]byte, error) {
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(newest); err != nil {
		return nil, fmt.Errorf("view: %w", err)
	}
	return data.Bytes(), nil
}

// DecodeView decodes a view that EncodeView has encoded.
func DecodeView(data []byte) (view.View, error) {
	var newest view.View
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&newest); err != nil {
		return view.View{}, fmt.Errorf("view: %w", err)
	}
	return newest, nil
}
