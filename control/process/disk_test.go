package process

import (
	"path/filepath"
	"testing"
)

// Guards against a large disk that counts as a small one, whose log is then full at 32 MB, also at the first start,
// before the folder is created.
func TestSizeOfTheDiskIsThatOfItsFolder(t *testing.T) {
	folder := t.TempDir()
	want, err := diskBytes(folder)
	if err != nil || want <= 64_000_000 {
		t.Fatalf("%d bytes, %v", want, err)
	}
	if got, err := diskBytes(filepath.Join(folder, "data", "control")); got != want || err != nil {
		t.Errorf("%d bytes, %v, want %d", got, err, want)
	}
}
