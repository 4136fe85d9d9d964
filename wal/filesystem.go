package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// FileSystem holds the files of a data folder.
type FileSystem interface {
	MakeFolder(path string) error
	// Lock keeps other processes from opening the folder until the result is closed.
	Lock(folder string) (io.Closer, error)
	// List returns the names of the files in a folder.
	List(folder string) ([]string, error)
	Read(path string) ([]byte, error)
	// Create opens a new or emptied file for writing, Open an existing one.
	Create(path string) (File, error)
	Open(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the creations, renames and removals in a folder durable.
	SyncFolder(path string) error
}

// File is a file that is open for writing.
type File interface {
	io.WriterAt
	Truncate(size int64) error
	// Sync makes the content durable.
	Sync() error
	Close() error
}

// OperatingSystem is the FileSystem of the operating system.
type OperatingSystem struct{}

// MakeFolder implements FileSystem.
func (OperatingSystem) MakeFolder(path string) error {
	return os.MkdirAll(path, folderMode)
}

// Lock implements FileSystem.
func (OperatingSystem) Lock(folder string) (io.Closer, error) {
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

// List implements FileSystem.
func (OperatingSystem) List(folder string) ([]string, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, file := range files {
		names = append(names, file.Name())
	}
	return names, nil
}

// Read implements FileSystem.
func (OperatingSystem) Read(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// Create implements FileSystem.
func (OperatingSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Open implements FileSystem.
func (OperatingSystem) Open(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR, fileMode)
}

// Rename implements FileSystem.
func (OperatingSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements FileSystem.
func (OperatingSystem) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder implements FileSystem.
func (OperatingSystem) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
