// Package version holds the version that --version prints.
package version

import "fmt"

// Version is the version of all binaries; release builds set it with -ldflags -X.
var Version = "0.1.0-dev"

// String returns the text that binary prints for --version.
func String(binary string) string {
	return fmt.Sprintf("%s %s", binary, Version)
}
