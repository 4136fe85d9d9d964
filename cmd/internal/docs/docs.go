// Package docs holds the tests that keep the pages and the code together.
package docs
