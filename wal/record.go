package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/jayloom/jayloom/api/rescode"
)

type recordType uint8

const (
	// recordHeader is the first record of a segment.
	recordHeader recordType = iota + 1
	// recordBatch holds the data of one Append.
	recordBatch
	// recordSnapshot is the only record of a snapshot file.
	recordSnapshot
)

// A record is its payload's length (4 bytes, little endian), the checksum (4 bytes),
// its type (1 byte) and the payload.
const recordOverhead = 9

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum also covers the record's file number and offset, so that a record embedded
// in a payload or moved to another position is not accepted as valid.
func checksum(file uint64, offset int64, kind recordType, payload []byte) uint32 {
	var prefix [21]byte
	binary.LittleEndian.PutUint64(prefix[0:], file)
	binary.LittleEndian.PutUint64(prefix[8:], uint64(offset))
	binary.LittleEndian.PutUint32(prefix[16:], uint32(len(payload)))
	prefix[20] = byte(kind)
	return crc32.Update(crc32.Checksum(prefix[:], castagnoli), castagnoli, payload)
}

// encodeRecord encodes a record that starts at offset of a file.
func encodeRecord(file uint64, offset int64, kind recordType, payload []byte) []byte {
	out := make([]byte, recordOverhead, recordOverhead+len(payload))
	binary.LittleEndian.PutUint32(out[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[4:], checksum(file, offset, kind, payload))
	out[8] = byte(kind)
	return append(out, payload...)
}

// decodeRecord decodes the record at offset of a file's content. It returns false if
// the bytes are not a valid record.
func decodeRecord(file uint64, content []byte, offset int64) (recordType, []byte, bool) {
	rest := content[offset:]
	if len(rest) < recordOverhead {
		return 0, nil, false
	}
	length := uint64(binary.LittleEndian.Uint32(rest))
	kind := recordType(rest[8])
	if kind < recordHeader || kind > recordSnapshot || length > uint64(len(rest)-recordOverhead) {
		return 0, nil, false
	}
	payload := rest[recordOverhead : recordOverhead+length]
	if binary.LittleEndian.Uint32(rest[4:]) != checksum(file, offset, kind, payload) {
		return 0, nil, false
	}
	return kind, payload, true
}

// hasValidRecordAfter reports whether any valid record starts after offset.
func hasValidRecordAfter(file uint64, content []byte, offset int64) bool {
	for start := offset + 1; start <= int64(len(content))-recordOverhead; start++ {
		if _, _, ok := decodeRecord(file, content, start); ok {
			return true
		}
	}
	return false
}

// newDamageError returns an error with the position of the damage. Records count from
// 1.
func newDamageError(path string, offset int64, record int, reason string) error {
	return rescode.New(rescode.DataFolderDamaged, "file %s, offset %d, record %d: %s", path, offset, record, reason)
}
