// Package consensus is under construction.
package consensus
