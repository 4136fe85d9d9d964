// Package proxy is under construction.
package proxy
