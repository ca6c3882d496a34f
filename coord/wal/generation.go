package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
)

// Layout of a generation's header: magic (8 bytes), generation (8), nonce (8), bytes of the records it was created with (8),
// CRC-32C of all these (4).
const (
	magic            = "slipwal1"
	generationOffset = len(magic)
	nonceOffset      = generationOffset + 8
	baseOffset       = nonceOffset + 8
	headerSumOffset  = baseOffset + 8
	headerBytes      = headerSumOffset + 4
)

const generationSuffix = ".log"

// header is the header of a generation file.
type header struct {
	generation uint64
	nonce      uint64
	baseBytes  uint64
}

// salt returns the initial value of the checksums of the file's records.
func (h header) salt() uint32 {
	return crc32.Checksum(binary.LittleEndian.AppendUint64(nil, h.nonce), castagnoli)
}

func (h header) appendTo(buffer []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, magic...)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.generation)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.nonce)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.baseBytes)
	checksum := crc32.Checksum(buffer[start:], castagnoli)
	return binary.LittleEndian.AppendUint32(buffer, checksum)
}

func parseHeader(content []byte) (header, bool) {
	if len(content) < headerBytes || string(content[:len(magic)]) != magic {
		return header{}, false
	}
	checksum := binary.LittleEndian.Uint32(content[headerSumOffset:])
	if checksum != crc32.Checksum(content[:headerSumOffset], castagnoli) {
		return header{}, false
	}
	return header{
		generation: binary.LittleEndian.Uint64(content[generationOffset:]),
		nonce:      binary.LittleEndian.Uint64(content[nonceOffset:]),
		baseBytes:  binary.LittleEndian.Uint64(content[baseOffset:]),
	}, true
}

func generationName(name string, generation uint64) string {
	return fmt.Sprintf("%s-%06d%s", name, generation, generationSuffix)
}

func parseGeneration(name, file string) (uint64, bool) {
	digits, found := strings.CutPrefix(file, name+"-")
	if !found {
		return 0, false
	}
	digits, found = strings.CutSuffix(digits, generationSuffix)
	if !found {
		return 0, false
	}
	generation, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || generationName(name, generation) != file {
		return 0, false
	}
	return generation, true
}

// listGenerations returns the numbers of the log's generations in the directory, highest first.
func listGenerations(disk Disk, name string) ([]uint64, error) {
	files, err := disk.List()
	if err != nil {
		return nil, fmt.Errorf("list the directory of log %s: %w", name, err)
	}
	var generations []uint64
	for _, file := range files {
		if generation, ok := parseGeneration(name, file); ok {
			generations = append(generations, generation)
		}
	}
	slices.Sort(generations)
	slices.Reverse(generations)
	return generations, nil
}

// contents holds the valid records of a complete generation. torn is set if bytes follow that are no valid record.
type contents struct {
	header  header
	records []Record
	size    int64
	torn    bool
}

// parseContents parses the content of a generation's file. It reports false if the generation is not complete.
func parseContents(generation uint64, file []byte) (contents, bool) {
	hdr, ok := parseHeader(file)
	if !ok || hdr.generation != generation {
		return contents{}, false
	}
	records, size := validRecords(file[headerBytes:], hdr.salt())
	if uint64(size) < hdr.baseBytes {
		return contents{}, false
	}
	total := headerBytes + size
	return contents{header: hdr, records: records, size: int64(total), torn: total < len(file)}, true
}
