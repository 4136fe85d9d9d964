// Package control is under construction.
package control
