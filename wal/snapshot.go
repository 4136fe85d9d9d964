package wal

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/consensus"
)

func writeSnapshot(folder string, identity consensus.ID, s consensus.Snapshot) error {
	number := uint64(s.Index)
	record := encodeRecord(number, 0, recordSnapshot, encodeSnapshot(identity, s))
	return writeFileDurably(filepath.Join(folder, snapshotName(number)), record)
}

// readNewestSnapshot returns nil if the folder holds no snapshot. It does not fall back
// from a damaged snapshot to an older one, because the log between them may already be
// removed.
func readNewestSnapshot(folder string) (consensus.ID, *consensus.Snapshot, error) {
	numbers, err := listNumberedFiles(folder, snapshotPrefix)
	if err != nil || len(numbers) == 0 {
		return "", nil, err
	}
	number := numbers[len(numbers)-1]
	path := filepath.Join(folder, snapshotName(number))
	content, err := os.ReadFile(path)
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

func removeSnapshotsBefore(folder string, index consensus.Index) error {
	numbers, err := listNumberedFiles(folder, snapshotPrefix)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if number >= uint64(index) {
			continue
		}
		if err := os.Remove(filepath.Join(folder, snapshotName(number))); err != nil {
			return errors.Wrap(err, "remove snapshot")
		}
	}
	return nil
}
