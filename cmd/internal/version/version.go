// Package version holds what --version prints.
package version

import "fmt"

// Version is the version of all binaries; release builds set it with -ldflags -X.
var Version = "0.1.0-dev"

// String returns the line that --version prints for a binary.
func String(binary string) string {
	return fmt.Sprintf("%s %s", binary, Version)
}
