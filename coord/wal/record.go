package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// MaxRecordBytes is the largest size of one record's data, in bytes.
const MaxRecordBytes = 64 << 20

// Layout of a record on disk: length of the data (4 bytes), kind (1), CRC-32C over the file's salt, length, kind and data (4), data.
const (
	lengthBytes       = 4
	kindOffset        = lengthBytes
	checksumOffset    = kindOffset + 1
	recordHeaderBytes = checksumOffset + 4
	maxRetainedBuffer = 1 << 20
	rewriteChunkSize  = 256 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is one entry of a log. The log does not interpret its kind and data.
type Record struct {
	Kind byte
	Data []byte
}

func encodedBytes(records []Record) int {
	total := 0
	for _, record := range records {
		total += recordHeaderBytes + len(record.Data)
	}
	return total
}

// appendRecord appends the encoding of a record to the buffer. The salt is the initial value of each checksum in the file.
func appendRecord(buffer []byte, salt uint32, record Record) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(record.Data)))
	buffer = append(buffer, record.Kind)
	checksum := recordChecksum(salt, buffer[start:], record.Data)
	buffer = binary.LittleEndian.AppendUint32(buffer, checksum)
	return append(buffer, record.Data...)
}

func recordChecksum(salt uint32, lengthAndKind, data []byte) uint32 {
	checksum := crc32.Update(salt, castagnoli, lengthAndKind)
	return crc32.Update(checksum, castagnoli, data)
}

// nextRecord decodes the record at the start of the content. The record shares the content's memory; ok is false if there
// is no complete, valid record.
func nextRecord(content []byte, salt uint32) (record Record, size int, ok bool) {
	if len(content) < recordHeaderBytes {
		return Record{}, 0, false
	}
	length := binary.LittleEndian.Uint32(content)
	if length > MaxRecordBytes || int(length) > len(content)-recordHeaderBytes {
		return Record{}, 0, false
	}
	size = recordHeaderBytes + int(length)
	data := content[recordHeaderBytes:size:size]
	checksum := binary.LittleEndian.Uint32(content[checksumOffset:])
	if checksum != recordChecksum(salt, content[:checksumOffset], data) {
		return Record{}, 0, false
	}
	return Record{Kind: content[kindOffset], Data: data}, size, true
}

// validRecords decodes records up to the first that is torn or corrupt; size is their total length in bytes.
func validRecords(content []byte, salt uint32) (records []Record, size int) {
	for {
		record, step, ok := nextRecord(content[size:], salt)
		if !ok {
			return records, size
		}
		records = append(records, record)
		size += step
	}
}
