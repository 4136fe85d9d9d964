// Package simdisk implements wal.FileSystem in memory. It simulates what a crash of the
// process and a loss of power leave of a data folder.
package simdisk

import (
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/wal"
)

// ErrFailed is returned by all changes after the operation at which the disk fails.
var ErrFailed = errors.New("simdisk: the disk has failed")

// Disk is a simulated disk. It is not safe for concurrent use.
type Disk struct {
	random *rand.Rand
	// names are the files as a running process sees them, durableNames as they are after a
	// loss of power without the changes in pending.
	names        map[string]*content
	durableNames map[string]*content
	pending      []nameChange
	// remaining is the number of changes until the disk fails, negative for never.
	remaining int
	// capacity is the number of bytes that the files may use, negative for no limit.
	capacity int64
}

var _ wal.FileSystem = (*Disk)(nil)

// content is a file without its name.
type content struct {
	current []byte
	durable []byte
	// writes are the changes since the last sync.
	writes []write
}

// write is a change of a file: data written at an offset, or a new size if data is nil.
type write struct {
	offset int64
	data   []byte
}

// nameChange is a creation (no from), a renaming or a removal (no to).
type nameChange struct {
	from, to string
	file     *content
}

// New returns an empty disk.
func New(random *rand.Rand) *Disk {
	return &Disk{random: random, names: map[string]*content{}, durableNames: map[string]*content{}, remaining: -1, capacity: -1}
}

// FailAfter makes all changes fail after the given number of further ones. Whether the
// change at which the disk fails takes effect is random.
func (d *Disk) FailAfter(changes int) {
	d.remaining = changes
}

// Repair ends the effect of FailAfter. Files are as the failed process has left them.
func (d *Disk) Repair() {
	d.remaining = -1
}

// SetCapacity limits the bytes of all files; a negative number ends the limit. A write beyond it fails
// with ENOSPC after the part that fits.
func (d *Disk) SetCapacity(bytes int64) {
	d.capacity = bytes
}

// Used returns the bytes of all files.
func (d *Disk) Used() int64 {
	used := int64(0)
	for _, f := range d.names {
		used += int64(len(f.current))
	}
	return used
}

// fitting returns how many bytes of a write fit on the disk.
func (d *Disk) fitting(f *content, data []byte, offset int64) int {
	if d.capacity < 0 {
		return len(data)
	}
	end := max(int64(len(f.current)), int64(len(f.current))+d.capacity-d.Used())
	return int(min(max(end-offset, 0), int64(len(data))))
}

// LosePower drops, keeps or tears each change that was not synced, and ends the effect of
// FailAfter.
func (d *Disk) LosePower() {
	d.Repair()
	dropAll := d.random.IntN(3) == 0
	for _, c := range d.pending {
		if !dropAll && d.random.IntN(2) == 0 {
			c.applyTo(d.durableNames)
		}
	}
	d.pending = nil
	d.names = maps.Clone(d.durableNames)
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		d.names[name].losePower(d.random, dropAll)
	}
}

func (c nameChange) applyTo(names map[string]*content) {
	if c.from != "" && names[c.from] == c.file {
		delete(names, c.from)
	}
	if c.to != "" {
		names[c.to] = c.file
	}
}

func (f *content) losePower(random *rand.Rand, dropAll bool) {
	for _, w := range f.writes {
		switch {
		case dropAll || random.IntN(3) == 0:
		case w.data == nil || random.IntN(2) == 0:
			f.durable = w.applyTo(f.durable)
		default:
			start := random.IntN(len(w.data))
			end := start + random.IntN(len(w.data)-start)
			torn := write{offset: w.offset + int64(start), data: w.data[start:end]}
			if len(torn.data) > 0 {
				f.durable = torn.applyTo(f.durable)
			}
		}
	}
	f.writes = nil
	f.current = slices.Clone(f.durable)
}

func (w write) applyTo(b []byte) []byte {
	end := w.offset + int64(len(w.data))
	if missing := end - int64(len(b)); missing > 0 {
		b = append(b, make([]byte, missing)...)
	}
	if w.data == nil {
		return b[:w.offset]
	}
	copy(b[w.offset:], w.data)
	return b
}

// change performs a change unless the disk has failed.
func (d *Disk) change(perform func()) error {
	if d.remaining < 0 {
		perform()
		return nil
	}
	if d.remaining == 0 {
		return ErrFailed
	}
	d.remaining--
	if d.remaining > 0 || d.random.IntN(2) == 0 {
		perform()
	}
	if d.remaining == 0 {
		return ErrFailed
	}
	return nil
}

func (d *Disk) changeName(c nameChange) error {
	return d.change(func() {
		c.applyTo(d.names)
		d.pending = append(d.pending, c)
	})
}

// MakeFolder implements wal.FileSystem. Folders always exist.
func (d *Disk) MakeFolder(string) error {
	return nil
}

// Lock implements wal.FileSystem.
func (d *Disk) Lock(string) (io.Closer, error) {
	return io.NopCloser(nil), nil
}

// List implements wal.FileSystem.
func (d *Disk) List(folder string) ([]string, error) {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		if filepath.Dir(name) == folder {
			out = append(out, filepath.Base(name))
		}
	}
	return out, nil
}

// Read implements wal.FileSystem.
func (d *Disk) Read(path string) ([]byte, error) {
	f := d.names[path]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.current), nil
}

// Create implements wal.FileSystem.
func (d *Disk) Create(path string) (wal.File, error) {
	f := &content{}
	return &file{disk: d, content: f}, d.changeName(nameChange{to: path, file: f})
}

// Open implements wal.FileSystem.
func (d *Disk) Open(path string) (wal.File, error) {
	f := d.names[path]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return &file{disk: d, content: f}, nil
}

// Rename implements wal.FileSystem.
func (d *Disk) Rename(from, to string) error {
	return d.changeName(nameChange{from: from, to: to, file: d.names[from]})
}

// Remove implements wal.FileSystem.
func (d *Disk) Remove(path string) error {
	return d.changeName(nameChange{from: path, file: d.names[path]})
}

// SyncFolder implements wal.FileSystem.
func (d *Disk) SyncFolder(string) error {
	return d.change(func() {
		d.pending = nil
		d.durableNames = maps.Clone(d.names)
	})
}

// file is an open file.
type file struct {
	disk    *Disk
	content *content
}

// WriteAt implements wal.File.
func (f *file) WriteAt(data []byte, offset int64) (int, error) {
	n := f.disk.fitting(f.content, data, offset)
	if n == 0 && len(data) > 0 {
		return 0, syscall.ENOSPC
	}
	if err := f.apply(write{offset: offset, data: slices.Clone(data[:n])}); err != nil {
		return n, err
	}
	if n < len(data) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Truncate implements wal.File.
func (f *file) Truncate(size int64) error {
	return f.apply(write{offset: size})
}

func (f *file) apply(w write) error {
	return f.disk.change(func() {
		f.content.current = w.applyTo(f.content.current)
		f.content.writes = append(f.content.writes, w)
	})
}

// Sync implements wal.File. It also makes the creation of the file durable.
func (f *file) Sync() error {
	return f.disk.change(func() {
		f.content.durable = slices.Clone(f.content.current)
		f.content.writes = nil
		f.disk.pending = slices.DeleteFunc(f.disk.pending, func(c nameChange) bool {
			isCreation := c.file == f.content && c.from == ""
			if isCreation {
				c.applyTo(f.disk.durableNames)
			}
			return isCreation
		})
	})
}

// Close implements wal.File.
func (f *file) Close() error {
	return nil
}

// Erase replaces the disk with an empty one.
func (d *Disk) Erase() {
	capacity := d.capacity
	*d = *New(d.random)
	d.capacity = capacity
}
