// Package abuse tests the system's own processes against clients that misbehave. Each test lowers the limits in its
// settings, so that a small crowd reaches them, and checks what does not depend on the speed of the machine: the
// process lives, its memory and open descriptors stay under a bound, and an ordinary request is served. The tests are
// to run one at a time, apart from other load (scripts/test.sh).
package abuse
