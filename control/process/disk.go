package process

import (
	"math"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// diskBytes returns the size of the disk that holds a folder, or will hold it once it is created.
func diskBytes(folder string) (int64, error) {
	var stat syscall.Statfs_t
	err := syscall.Statfs(folder, &stat)
	if parent := filepath.Dir(folder); errors.Is(err, syscall.ENOENT) && parent != folder {
		return diskBytes(parent)
	}
	if err != nil {
		return 0, errors.Wrapf(err, "size of the disk of %s", folder)
	}
	blocks := min(stat.Blocks, uint64(math.MaxInt64)/uint64(max(stat.Bsize, 1)))
	return int64(blocks) * int64(stat.Bsize), nil
}
