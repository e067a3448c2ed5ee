// Package testbed runs real processes behind relays on loopback that lose, delay and cut what passes between them, plays fault
// scripts on relays and processes, and watches the processes' views of one another. Each process sends from an address of its
// own in 127.0.0.0/8, so that a relay knows sender and receiver without privileges. The package ends only processes that it
// started, by their own ids. A run in which a watch saw nothing counts as failed.
package testbed
