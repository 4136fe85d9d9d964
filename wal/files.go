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
	fileMode        = 0o600
	folderMode      = 0o700
)

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, number)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, index)
}

// lockFolder keeps other processes from opening the folder until the file is closed.
func lockFolder(folder string) (*os.File, error) {
	path := filepath.Join(folder, lockName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file of data folder")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "data folder %s is in use by another process", folder)
	}
	return file, nil
}

// listNumberedFiles returns the numbers of the files with a prefix, in ascending order,
// and removes temporary files left by a crash.
func listNumberedFiles(folder, prefix string) ([]uint64, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, errors.Wrap(err, "list data folder")
	}
	var numbers []uint64
	for _, file := range files {
		name := file.Name()
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		if strings.HasSuffix(name, temporarySuffix) {
			if err := os.Remove(filepath.Join(folder, name)); err != nil {
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
func writeFileDurably(path string, content []byte) error {
	temporary := path + temporarySuffix
	file, err := os.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	if err := writeAndSync(file, content); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "close file")
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "rename file")
	}
	return syncFolder(filepath.Dir(path))
}

func writeAndSync(file *os.File, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return errors.Wrapf(err, "write %s", file.Name())
	}
	return errors.Wrapf(file.Sync(), "sync %s", file.Name())
}

func syncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer file.Close()
	return errors.Wrapf(file.Sync(), "sync folder %s", folder)
}
