// Package docs tests that the documentation matches the code.
package docs
