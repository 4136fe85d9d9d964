package wal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/consensus"
)

func writeSnapshot(fs FileSystem, folder string, identity consensus.ID, s consensus.Snapshot) error {
	number := uint64(s.Index)
	record := encodeRecord(number, 0, recordSnapshot, encodeSnapshot(identity, s))
	return writeFileDurably(fs, filepath.Join(folder, snapshotName(number)), record)
}

// snapshotFileBytes returns the size of the file of a snapshot.
func snapshotFileBytes(identity consensus.ID, s consensus.Snapshot) int64 {
	return int64(recordOverhead + len(encodeSnapshot(identity, s)))
}

// readNewestSnapshot returns nil if the folder holds no snapshot. It does not fall back
// from a damaged snapshot to an older one, because the log between them may already be
// removed.
func readNewestSnapshot(fs FileSystem, folder string) (consensus.ID, *consensus.Snapshot, error) {
	numbers, err := listNumberedFiles(fs, folder, snapshotPrefix)
	if err != nil || len(numbers) == 0 {
		return "", nil, err
	}
	number := numbers[len(numbers)-1]
	path := filepath.Join(folder, snapshotName(number))
	content, err := fs.Read(path)
	if err != nil {
		return "", nil, errors.Wrap(err, "read snapshot")
	}
	kind, payload, ok := decodeRecord(number, content, 0)
	if !ok || kind != recordSnapshot || len(payload)+recordOverhead != len(content) {
		return "", nil, newDamageError(path, 0, 1, "invalid snapshot")
	}
	identity, s, ok := decodeSnapshot(payload)
	if !ok || uint64(s.Index) != number {
		return "", nil, newDamageError(path, 0, 1, "malformed snapshot")
	}
	return identity, &s, nil
}

func removeSnapshotsBefore(fs FileSystem, folder string, index consensus.Index) error {
	numbers, err := listNumberedFiles(fs, folder, snapshotPrefix)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if number >= uint64(index) {
			continue
		}
		if err := fs.Remove(filepath.Join(folder, snapshotName(number))); err != nil {
			return errors.Wrap(err, "remove snapshot")
		}
	}
	return nil
}
