package wal_test

import (
	"fmt"
	"os"

	"gaugeslip/coord/wal"
)

// A log is opened, written to, synced, and read back after a restart.
func Example() {
	dir, err := os.MkdirTemp("", "wal")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	disk, err := wal.OSDisk(dir)
	if err != nil {
		panic(err)
	}
	log, _, err := wal.Open(disk, "orders")
	if err != nil {
		panic(err)
	}
	_ = log.Append(wal.Record{Kind: 1, Data: []byte("take")}, wal.Record{Kind: 2, Data: []byte("ship")})
	if err := log.Sync(); err == nil {
		fmt.Println("both records are durable")
	}
	_ = log.Close()

	log, records, err := wal.Open(disk, "orders")
	if err != nil {
		panic(err)
	}
	defer log.Close()
	for _, record := range records {
		fmt.Println(record.Kind, string(record.Data))
	}
	// Output:
	// both records are durable
	// 1 take
	// 2 ship
}
