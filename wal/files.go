package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Names of files in the data folder. A segment name ends in the segment number, a
// snapshot name in its last index, both in fixed width so that names sort by number.
const (
	lockName        = "lock"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, number)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, index)
}

// listNumberedFiles returns the numbers of the files with a prefix, in ascending order,
// and removes temporary files left by a crash.
func listNumberedFiles(fs FileSystem, folder, prefix string) ([]uint64, error) {
	names, err := fs.List(folder)
	if err != nil {
		return nil, errors.Wrap(err, "list data folder")
	}
	var numbers []uint64
	for _, name := range names {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		if strings.HasSuffix(name, temporarySuffix) {
			if err := fs.Remove(filepath.Join(folder, name)); err != nil {
				return nil, errors.Wrap(err, "remove temporary file")
			}
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(name, prefix+"%016x", &number); err != nil {
			return nil, newDamageError(filepath.Join(folder, name), 0, 0, "unexpected file name")
		}
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers, nil
}

// writeFileDurably writes a new file so that after a crash it either exists with its
// whole content or does not exist.
func writeFileDurably(fs FileSystem, path string, content []byte) error {
	temporary := path + temporarySuffix
	if err := writeNewFile(fs, temporary, content); err != nil {
		return discardIfDiskFull(fs, temporary, err)
	}
	if err := fs.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "rename file")
	}
	return syncFolder(fs, filepath.Dir(path))
}

func writeNewFile(fs FileSystem, path string, content []byte) error {
	file, err := fs.Create(path)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	if err := writeAndSync(file, content); err != nil {
		_ = file.Close()
		return errors.Wrap(err, path)
	}
	return errors.Wrap(file.Close(), "close file")
}

// discardIfDiskFull removes a temporary file for which there was no room.
func discardIfDiskFull(fs FileSystem, temporary string, cause error) error {
	if !IsDiskFull(cause) {
		return cause
	}
	if err := fs.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrapf(err, "remove temporary file (%v)", cause)
	}
	return errors.Mark(cause, ErrDiskFull)
}

// IsDiskFull reports whether an error says that there is no room, in contrast to a disk that is broken. Only after
// ErrDiskFull can the log be used further.
func IsDiskFull(err error) bool {
	return errors.IsAny(err, ErrDiskFull, syscall.ENOSPC, syscall.EDQUOT)
}

func writeAndSync(file File, content []byte) error {
	if _, err := file.WriteAt(content, 0); err != nil {
		return errors.Wrap(err, "write file")
	}
	return errors.Wrap(file.Sync(), "sync file")
}

func syncFolder(fs FileSystem, folder string) error {
	return errors.Wrapf(fs.SyncFolder(folder), "sync folder %s", folder)
}
